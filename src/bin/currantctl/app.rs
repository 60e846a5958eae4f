//! Command line of `currantctl`, the operators' tool.

use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr, VariantNames};

/// Administers currantlb.
#[derive(Debug, FromArgs)]
pub(crate) struct App {
    /// address of any VM's administration API
    #[argh(option, default = "\"http://127.0.0.1:8432\".to_owned()")]
    pub(crate) url: String,

    /// file with the operator's token; defaults to the environment variable `CURRANTLB_TOKEN`
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,

    /// certificate of the authority that signed the API's certificate, in PEM format
    #[argh(option)]
    pub(crate) ca_file: Option<PathBuf>,

    /// print JSON instead of tables
    #[argh(switch)]
    pub(crate) json: bool,

    /// id of the write; repeat a write with the same id to get its outcome after a lost response
    #[argh(option)]
    pub(crate) operation_id: Option<String>,

    /// revision that the record must have; defaults to the one read before the write
    #[argh(option)]
    pub(crate) expect: Option<u64>,

    #[argh(subcommand)]
    pub(crate) action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Action {
    Status(Status),
    Vms(Vms),
    Workspace(Workspace),
    Key(Key),
    Preset(Preset),
    Route(Route),
    Database(Database),
    Completion(Completion),
}

/// Shows the state of the fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh needs named fields"
)]
pub(crate) struct Status {}

/// Shows the VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh needs named fields"
)]
pub(crate) struct Vms {}

/// Administers workspaces: list, show, set, remove.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspace")]
pub(crate) struct Workspace {
    /// list, show, set or remove
    #[argh(positional)]
    pub(crate) verb: WorkspaceVerb,

    /// name of the workspace
    #[argh(positional)]
    pub(crate) name: Option<String>,

    /// database that the workspace may use; repeat for several
    #[argh(option)]
    pub(crate) database: Vec<String>,

    /// statements per second
    #[argh(option)]
    pub(crate) rate_per_s: Option<f64>,

    /// statements that may exceed the rate in a burst
    #[argh(option)]
    pub(crate) burst: Option<f64>,

    /// share of slot time relative to other workspaces
    #[argh(option)]
    pub(crate) weight: Option<u32>,
}

/// Administers keys: list, issue, withdraw.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    /// list, issue or withdraw
    #[argh(positional)]
    pub(crate) verb: KeyVerb,

    /// name of the workspace
    #[argh(positional)]
    pub(crate) workspace: String,

    /// id of the key to withdraw
    #[argh(positional)]
    pub(crate) id: Option<String>,
}

/// Administers presets: list, show, put, validate, diff, switch, in-force, remove.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "preset")]
pub(crate) struct Preset {
    /// list, show, put, validate, diff, switch, in-force or remove
    #[argh(positional)]
    pub(crate) verb: PresetVerb,

    /// name of the preset; for diff, followed by the other preset
    #[argh(positional)]
    pub(crate) names: Vec<String>,

    /// file with the preset in JSON
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
}

/// Administers routes: list, show, put, remove.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub(crate) struct Route {
    /// list, show, put or remove
    #[argh(positional)]
    pub(crate) verb: RecordVerb,

    /// name of the route
    #[argh(positional)]
    pub(crate) name: Option<String>,

    /// file with the route's policy in JSON
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
}

/// Administers databases: list, show, put, drain, undrain, remove.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "database")]
pub(crate) struct Database {
    /// list, show, put, drain, undrain or remove
    #[argh(positional)]
    pub(crate) verb: DatabaseVerb,

    /// name of the database; for drain and undrain, followed by the instance
    #[argh(positional)]
    pub(crate) names: Vec<String>,

    /// file with the database group in JSON
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
}

/// Prints a completion script.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "completion")]
pub(crate) struct Completion {
    /// bash or zsh
    #[argh(positional)]
    pub(crate) shell: Shell,
}

/// Defines an enum that is parsed from the kebab-case names of its variants.
macro_rules! verb {
    ($(#[$doc:meta])* $name:ident { $($variant:ident),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr, VariantNames)]
        #[strum(serialize_all = "kebab-case")]
        pub(crate) enum $name {
            $($variant),+
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                let has_name = |verb: &Self| <&'static str>::from(verb) == text;
                let expected = || format!("expected one of: {}", Self::VARIANTS.join(", "));
                Self::iter().find(has_name).ok_or_else(expected)
            }
        }
    };
}

verb!(
    /// Verbs of the `workspace` command.
    WorkspaceVerb { List, Show, Set, Remove }
);
verb!(
    /// Verbs of the `key` command.
    KeyVerb { List, Issue, Withdraw }
);
verb!(
    /// Verbs of the `preset` command.
    PresetVerb { List, Show, Put, Validate, Diff, Switch, InForce, Remove }
);
verb!(
    /// Verbs of commands that only list, show, put and remove records, such as `route`.
    RecordVerb { List, Show, Put, Remove }
);
verb!(
    /// Verbs of the `database` command.
    DatabaseVerb { List, Show, Put, Drain, Undrain, Remove }
);
verb!(
    /// Shell that a completion script is printed for.
    Shell { Bash, Zsh }
);
