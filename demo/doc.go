package demo
