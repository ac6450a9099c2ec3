"""The messages between nodes; generated from ``peer.proto`` by ``make proto``."""
