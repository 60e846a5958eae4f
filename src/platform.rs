//! Client of the platform's configuration service.
