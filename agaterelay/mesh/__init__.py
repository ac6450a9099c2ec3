"""The tasks of a node deployed on a platform that provides its own store."""
