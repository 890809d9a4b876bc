package once
