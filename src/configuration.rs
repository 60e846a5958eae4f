//! Operator configuration: records stored in the platform's service, and the view built from them.

pub mod record;
pub mod revision;
pub mod stored;
pub mod validate;
pub mod view;

pub use record::{
    DatabaseGroup, InstanceRecord, InstanceState, Key, KeyState, Limits, Preset, PresetInForce,
    Record, RecordPath, Route, RouteClass, RoutePolicy, Workspace,
};
pub use revision::{Revision, Timeline};
pub use stored::StoredRecord;
pub use view::{Configuration, ConfigurationChange};
