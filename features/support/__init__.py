"""Support for the features: builders of test data and fakes of a node's parts."""
