//! Stand-ins, demo, replay and measurements.

fn main() {}
