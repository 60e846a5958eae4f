//! The two existing deployments, configured as operators would do it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use currantlb::configuration::{
    DatabaseGroup, InstanceRecord, InstanceState, Key, KeyState, Limits, Preset, PresetInForce,
    Record, Route, RouteClass, RoutePolicy, Workspace,
};
use currantlb::name::{DatabaseName, InstanceName, WorkspaceName, ZoneName};
use currantlb::traffic::scram;

/// Names, sizes and limits of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the region, and of its only cell.
    pub region: &'static str,
    /// Names of the availability zones.
    pub availability_zones: Vec<&'static str>,
    /// Names of the databases; each has a group of instances.
    pub databases: Vec<&'static str>,
    /// Statements that an instance runs concurrently.
    pub slots: u32,
    /// Connections that an instance accepts.
    pub connections: u32,
    /// Workspaces with their limits under the preset `ordinary`.
    pub workspaces: Vec<(&'static str, Limits)>,
    /// Routes with their policies under the preset `ordinary`.
    pub routes: Vec<(&'static str, RoutePolicy)>,
    /// Statements that create the schema of each database before it serves.
    pub schema: Vec<String>,
}

/// Number of instances in each database group.
pub const INSTANCES_PER_DATABASE: usize = 3;

fn limits(rate_per_s: f64, burst: f64, weight: u32) -> Limits {
    Limits {
        rate_per_s,
        burst,
        weight,
    }
}

fn route(class: RouteClass, max_staleness_ms: u32, repeatable: bool) -> RoutePolicy {
    RoutePolicy {
        class,
        max_staleness_ms,
        repeatable,
        open_to_all: false,
    }
}

/// Returns the deployment of the canopy map service: four availability zones, three databases.
pub fn semenanjung() -> Deployment {
    let small = limits(200.0, 400.0, 1);
    let large = limits(1_000.0, 2_000.0, 4);
    Deployment {
        region: "semenanjung",
        availability_zones: vec!["zone-a", "zone-b", "zone-c", "zone-d"],
        databases: vec!["canopy-1", "canopy-2", "canopy-3"],
        slots: 3,
        connections: 20,
        workspaces: vec![
            ("petaling", large),
            ("klang", large),
            ("subang", small),
            ("kajang", small),
            ("ampang", small),
            ("rawang", small),
            ("sepang", small),
            ("banting", small),
        ],
        routes: vec![
            ("inspection-save", route(RouteClass::Urgent, 0, false)),
            ("map-view", route(RouteClass::Normal, 2_000, true)),
            ("permit-check", route(RouteClass::Urgent, 0, true)),
            ("report", route(RouteClass::Background, 60_000, true)),
        ],
        schema: schema("inspection"),
    }
}

/// Returns the deployment of the valve configurator: three availability zones, three databases.
pub fn bagmati() -> Deployment {
    let small = limits(100.0, 200.0, 1);
    let large = limits(500.0, 1_000.0, 4);
    Deployment {
        region: "bagmati",
        availability_zones: vec!["zone-a", "zone-b", "zone-c"],
        databases: vec!["valve-1", "valve-2", "valve-3"],
        slots: 2,
        connections: 30,
        workspaces: vec![
            ("himal-hydraulics", large),
            ("kathmandu-valves", large),
            ("lalitpur-fluid", small),
            ("bhaktapur-controls", small),
            ("trishuli-hydro", small),
            ("kavre-mills", small),
            ("dhading-bottlers", small),
            ("chitwan-supply", small),
        ],
        routes: vec![
            ("order-lock", route(RouteClass::Urgent, 0, false)),
            ("spec-save", route(RouteClass::Normal, 0, false)),
            ("catalogue", route(RouteClass::Normal, 5_000, true)),
            ("export", route(RouteClass::Background, 60_000, true)),
        ],
        schema: schema("order_lock"),
    }
}

fn schema(table: &str) -> Vec<String> {
    vec![
        format!("CREATE TABLE {table} (id TEXT PRIMARY KEY, workspace TEXT NOT NULL, payload TEXT)"),
        "CREATE TABLE note (id BIGSERIAL PRIMARY KEY, session TEXT NOT NULL, sequence BIGINT NOT NULL)".to_owned(),
        "CREATE TABLE layer (id BIGINT PRIMARY KEY, name TEXT NOT NULL)".to_owned(),
        "INSERT INTO layer (id, name) VALUES (1, 'first'), (2, 'second'), (3, 'third')".to_owned(),
    ]
}

/// Returns the key of a workspace in the stand-ins; it is derived from the name and not secret.
pub fn key_of(workspace: &str) -> String {
    format!("lab-key-{workspace}-1")
}

impl Deployment {
    /// Returns the name of a database's instance: the database's name and a letter from `a`.
    pub fn instance_name(database: &str, index: usize) -> String {
        format!("{database}-{}", (b'a' + index as u8) as char)
    }

    /// Returns the availability zone of an instance or VM; numbers are assigned round-robin.
    pub fn availability_zone(&self, number: usize) -> ZoneName {
        ZoneName::from(self.availability_zones[number % self.availability_zones.len()])
    }

    /// Returns all configuration records, with the preset `ordinary` in force.
    ///
    /// `addresses` maps instance names to addresses.
    pub fn records(&self, addresses: &BTreeMap<String, SocketAddr>) -> Vec<Record> {
        let mut records = Vec::new();
        for (number, database) in self.databases.iter().enumerate() {
            records.push(Record::Database(self.group(database, number, addresses)));
        }
        for (name, policy) in &self.routes {
            records.push(Record::Route(Route {
                name: (*name).into(),
                policy: *policy,
            }));
        }
        for (name, limits) in &self.workspaces {
            records.push(Record::Workspace(self.workspace(name, *limits)));
        }
        records.extend(self.presets().into_iter().map(Record::Preset));
        records.push(Record::InForce(PresetInForce {
            preset: "ordinary".into(),
            version: 1,
            operation: "seed".into(),
        }));
        records
    }

    fn group(
        &self,
        database: &str,
        number: usize,
        addresses: &BTreeMap<String, SocketAddr>,
    ) -> DatabaseGroup {
        let instance = |index: usize| {
            let name = Self::instance_name(database, index);
            let address = addresses.get(&name).copied();
            InstanceRecord {
                address: address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
                name: InstanceName::from(name),
                availability_zone: self.availability_zone(number + index),
                slots: self.slots,
                connections: self.connections,
                state: InstanceState::Live,
            }
        };
        DatabaseGroup {
            name: DatabaseName::from(database),
            region: self.region.into(),
            cell: self.region.into(),
            instances: (0..INSTANCES_PER_DATABASE).map(instance).collect(),
        }
    }

    fn workspace(&self, name: &str, limits: Limits) -> Workspace {
        let salt = scram::new_salt();
        let verifier =
            scram::verifier(&key_of(name), &salt, scram::ITERATIONS).expect("the salt is base64");
        Workspace {
            name: WorkspaceName::from(name),
            salt,
            iterations: scram::ITERATIONS,
            keys: vec![Key {
                id: format!("{name}-1").as_str().into(),
                stored_key: verifier.stored_key,
                server_key: verifier.server_key,
                state: KeyState::Active,
            }],
            databases: self
                .databases
                .iter()
                .map(|database| DatabaseName::from(*database))
                .collect(),
            limits,
        }
    }

    fn presets(&self) -> Vec<Preset> {
        let preset = |name: &str, description: &str| Preset {
            name: name.into(),
            description: description.to_owned(),
            limits: BTreeMap::new(),
            routes: BTreeMap::new(),
            maintenance: BTreeSet::new(),
        };
        let mut peak = preset(
            "peak",
            "Background work waits and stale views are accepted for longer",
        );
        for (name, limits) in &self.workspaces {
            let raised = Limits {
                burst: limits.burst * 2.0,
                ..*limits
            };
            peak.limits.insert((*name).into(), raised);
        }
        for (name, policy) in &self.routes {
            let max_staleness_ms = policy.max_staleness_ms * 2;
            peak.routes.insert(
                (*name).into(),
                RoutePolicy {
                    max_staleness_ms,
                    ..*policy
                },
            );
        }
        let mut maintenance = preset(
            "maintenance",
            "The last instance of the first database gets no work",
        );
        let last = Self::instance_name(self.databases[0], INSTANCES_PER_DATABASE - 1);
        maintenance.maintenance.insert(InstanceName::from(last));
        vec![preset("ordinary", "Ordinary days"), peak, maintenance]
    }
}

/// Returns the deployment of a region; `None` if the region is unknown.
pub fn named(region: &str) -> Option<Deployment> {
    [semenanjung(), bagmati()]
        .into_iter()
        .find(|deployment| deployment.region == region)
}
