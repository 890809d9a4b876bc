package admission
