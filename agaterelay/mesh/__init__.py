"""The tasks of a node that is deployed on a platform with a store of its own."""
