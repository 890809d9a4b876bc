package node
