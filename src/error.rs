//! Errors of the daemon, each with its remedy.
