package suspect
