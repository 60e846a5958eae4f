//! Name types shared between modules. They hold shared strings, so that clones are cheap.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// Name of a VM that runs the daemon.
    VmName
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of a cell: the VMs that the homes of one set of databases are distributed over.
    CellName
);
name_type!(
    /// Name of a workspace; callers log in with it as their user.
    WorkspaceName
);
name_type!(
    /// Name of a database group, which callers specify when they connect.
    DatabaseName
);
name_type!(
    /// Name of one instance of a database group, unique over all groups.
    InstanceName
);
name_type!(
    /// Name of a preset.
    PresetName
);
name_type!(
    /// Name of a route.
    RouteName
);
name_type!(
    /// Identifier of one key of a workspace; not secret.
    KeyId
);
name_type!(
    /// Name of a caller's session; a session may span connections and VMs.
    SessionName
);
name_type!(
    /// Identifier that a caller gives to a request, by which a retry is recognised.
    RequestId
);
name_type!(
    /// Identifier that an operator gives to a write, by which a retry after a lost response is
    /// recognised.
    OperationId
);
