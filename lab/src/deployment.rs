//! The deployments.
