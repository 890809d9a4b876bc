package ownership
