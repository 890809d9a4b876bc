package placement
