package settings
