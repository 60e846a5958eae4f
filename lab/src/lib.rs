//! Stand-ins for the platform and databases that currantlb uses, and the demo, replay and
//! measurements that run on them.

#![allow(
    clippy::cast_possible_wrap,
    reason = "the sizes that the stand-ins handle are far below the limits of the casts"
)]

pub mod certificate;
pub mod client;
pub mod daemons;
pub mod database;
pub mod demo;
pub mod deployment;
pub mod entry_store;
pub mod fleet;
pub mod loopback;
pub mod measure;
pub mod platform;
pub mod processes;
pub mod proxy;
pub mod relay;
pub mod replay;
pub mod stand_ins;
