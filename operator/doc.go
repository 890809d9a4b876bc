package operator
