package storehttp
