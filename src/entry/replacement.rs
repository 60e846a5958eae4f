//! Replacement of a primary, as a state machine of the VM that holds the failover lease.
//!
//! [`Replacement`] decides; `takeover` and `succession` carry out its [`Action`]s and report each outcome
//! as an [`Event`]. One action is under way at a time. The machine has no clock, socket or task, so that
//! `tests/model_replacement.rs` can explore it.
//!
//! | State | Ends when |
//! |---|---|
//! | suspicion check | the suspected primary has been asked once more; if it leads, nothing is replaced |
//! | record check, after a restoration of the store | the instances have reported; a confirmed record is only written again |
//! | beginning | the record says `moving`, so that no VM sends new work to the primary |
//! | confirming first: planned, or without synchronous replicas | no VM relies on an earlier record any more |
//! | deposing a primary that still serves: planned | it has been demoted and its last saves have arrived, or it can't be |
//! | pausing | the replicas have been paused and have reported, with the former primary |
//! | confirming last: the former primary hasn't reported | no VM acknowledges its saves any more; all replicas are then paused again |
//! | catching up | the chosen instance has received what another has, or the time limit has passed |
//! | demoting a former primary that reports that it leads | what it sent has arrived at the chosen instance; if not, the replicas are paused again |
//! | recording the call | the record names the chosen instance, so that the next holder knows that it may be promoted |
//! | calling the promotion | the platform has answered, or the call has been given up |
//! | awaiting leadership | the chosen instance reports that it leads in a later term; if it doesn't in time, the replicas are paused again |
//! | settling: a VM hasn't confirmed yet | no VM relies on an earlier record any more |
//! | finishing | the record says `steady`; the other instances are notified |
//!
//! The loss of the failover lease, or a record that can't be written, ends each of these states. The
//! record then remains `moving` or `settling`, and the next holder replaces its primary as unfinished.
//!
//! While the former primary hasn't reported, the chosen instance receives alone from the choice until it
//! leads: see [`Replacement::receiving`].

pub mod acknowledgement;
mod choice;
mod machine;
mod messages;
mod reason;

pub use machine::Replacement;
pub use messages::{Action, Answer, Event, Note, Receiving, Situation};
pub use reason::Reason;
