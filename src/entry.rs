//! Serves callers on the VM that they are connected to.
//!
//! The [`gateways`] hold the connections to the instances. In a small deployment every VM is a
//! gateway; in a large one some VMs are, and the others forward statements to them. The store holds
//! one record per database that names its primary. A gateway runs statements that need the primary
//! only while its validity lease (see [`validity`]) ensures that the record can't have changed
//! without its knowledge. This module doesn't depend on the protocols spoken with callers,
//! instances and the store: an [`Adapter`] provides them.

pub mod acquisition;
pub mod adapter;
pub mod admission;
pub mod catalog;
pub mod channel;
pub mod clock;
pub mod confirmation;
pub mod confirmation_tracker;
pub mod connections;
pub mod control;
pub mod counted;
pub mod datagram;
pub mod directory;
pub mod discovery;
pub mod ejection;
pub mod encoded;
pub mod evacuation;
pub mod execution;
pub mod failover;
pub mod failover_lease;
pub mod fetch;
pub mod follow;
pub mod forwarding;
pub mod freshness;
pub mod gateway;
pub mod gateways;
pub mod group_size;
pub mod health;
pub mod idle_transactions;
pub mod input_budget;
pub mod instance;
pub mod keys;
pub mod latency;
pub mod limiter;
pub mod link;
pub mod listener;
pub mod members;
pub mod node;
pub mod outlier;
pub mod overload;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod position;
pub mod promotion;
pub mod quota;
pub mod record;
pub mod records;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod replacement;
pub mod replica_lag;
pub mod replication;
pub mod reports;
pub mod restoration;
pub mod retry_budget;
pub mod retry_delay;
pub mod revocation;
pub mod role;
pub mod saves;
pub mod scouts;
pub mod service;
pub mod session;
pub mod settings;
pub mod shutdown;
pub mod slots;
pub mod state;
pub mod statement;
pub mod succession;
pub mod supervision;
pub mod synchronization;
pub mod takeover;
pub mod target;
pub mod task;
pub mod tenure;
pub mod transaction;
pub mod validity;
pub mod warmup;
pub mod withdrawal;
pub mod worker;

pub use adapter::Adapter;
pub use node::Node;
pub use settings::EntrySettings;
