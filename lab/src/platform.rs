//! Platform.
