//! Stand-in for a database group: instances that serve SQLite tables by the PostgreSQL protocol.
//!
//! Replication is asynchronous with a configurable lag. Tests can cut network links, and kill,
//! pause or slow down instances. Anything that a VM must never do to an instance is recorded as a
//! [`Violation`].

mod checks;
mod copy;
mod error;
mod extended;
mod instance;
mod log;
mod login;
mod network;
mod replication;
mod rewrite;
mod run;
mod session;
mod sql;
mod store;
mod transaction;
mod types;
mod value;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use currantlb::position::LogPosition;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

pub use checks::{Violation, ViolationKind};
pub use instance::{InstanceLimits, Report};

use checks::Checks;
use instance::{Instance, InstanceOptions};

/// Settings of one instance of a group.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Limits and delays of the instance.
    pub limits: InstanceLimits,
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self {
            name: "instance-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            limits: InstanceLimits::default(),
        }
    }
}

/// Settings of a group. The first instance starts as the primary.
#[derive(Debug, Clone)]
pub struct DatabaseGroupSettings {
    /// Instances of the group.
    pub instances: Vec<InstanceSettings>,
    /// Password that VMs must log in with. `None` accepts any password.
    pub password: Option<String>,
    /// Caller keys. An instance that receives one of them records a violation.
    pub forbidden_keys: Vec<String>,
    /// Initial replication lag of every replica.
    pub replication_lag: Duration,
    /// One-way network delay between a VM and an instance.
    pub delay: Duration,
    /// Statements that create the schema. The primary runs them as one commit before the group
    /// starts; replicas receive them by replication.
    pub schema: Vec<String>,
}

impl Default for DatabaseGroupSettings {
    fn default() -> Self {
        let instance = |name: &str| InstanceSettings {
            name: name.to_owned(),
            ..InstanceSettings::default()
        };
        Self {
            instances: vec![
                instance("instance-1"),
                instance("instance-2"),
                instance("instance-3"),
            ],
            password: None,
            forbidden_keys: Vec::new(),
            replication_lag: Duration::ZERO,
            delay: Duration::ZERO,
            schema: Vec::new(),
        }
    }
}

/// Running group. Dropping it stops its instances.
#[derive(Debug)]
pub struct DatabaseGroup {
    instances: Vec<Arc<Instance>>,
    checks: Arc<Checks>,
    listeners: Mutex<Vec<AbortHandle>>,
    _replication: JoinSet<()>,
}

impl DatabaseGroup {
    /// Starts the instances of a group.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound or when the schema contains invalid SQL.
    pub async fn start(settings: DatabaseGroupSettings) -> std::io::Result<Self> {
        let checks = Arc::new(Checks::new(settings.forbidden_keys));
        let changed = watch::Sender::new(0);
        let primary = settings
            .instances
            .first()
            .map(|first| first.name.clone())
            .unwrap_or_default();
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for instance in settings.instances {
            let listener = TcpListener::bind(instance.address).await?;
            let options = InstanceOptions {
                name: instance.name,
                address: listener.local_addr()?,
                limits: instance.limits,
                password: settings.password.clone(),
                checks: Arc::clone(&checks),
                changed: changed.clone(),
                primary: primary.clone(),
                lag: settings.replication_lag,
                delay: settings.delay,
            };
            let instance = Arc::new(Instance::new(options).map_err(std::io::Error::other)?);
            listeners.push(accept(&instance, listener));
            instances.push(instance);
        }
        let mut replication = JoinSet::new();
        let peers: Vec<_> = instances.iter().map(Arc::downgrade).collect();
        for instance in &instances {
            replication.spawn(replication::run(Arc::downgrade(instance), peers.clone()));
        }
        let group = Self {
            instances,
            checks,
            listeners: Mutex::new(listeners),
            _replication: replication,
        };
        group
            .run_schema(&settings.schema)
            .map_err(std::io::Error::other)?;
        Ok(group)
    }

    fn run_schema(&self, schema: &[String]) -> error::Result<()> {
        let Some(primary) = self.instances.first() else {
            return Ok(());
        };
        let mut statements = Vec::new();
        for text in schema {
            for plan in sql::parse(text)? {
                statements.push(log::LoggedStatement {
                    sql: plan.sql,
                    parameters: Vec::new(),
                });
            }
        }
        let mut write = primary.begin_write()?;
        write.statements = statements;
        primary.commit(write)
    }

    fn instance(&self, name: &str) -> &Arc<Instance> {
        let found = self.instances.iter().find(|instance| instance.name == name);
        found.unwrap_or_else(|| {
            panic!("the group has no instance {name}; use a name from its settings")
        })
    }

    /// Returns the names and addresses of the instances.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.address))
            .collect()
    }

    /// Returns the term, role and last position that an instance reports.
    pub fn report(&self, instance: &str) -> Report {
        self.instance(instance).report()
    }

    /// Returns the primary of the highest term. `None` when no instance is a primary.
    pub fn primary(&self) -> Option<String> {
        let primaries = self
            .instances
            .iter()
            .filter(|instance| instance.report().is_primary);
        primaries
            .max_by_key(|instance| instance.report().adopted)
            .map(|instance| instance.name.clone())
    }

    /// Isolates an instance from all VMs and from the other instances: packets are not delivered,
    /// but connections stay open.
    pub fn isolate(&self, instance: &str) {
        self.instance(instance).network.change(|links| {
            links.cut_from_vms = true;
            links.cut_from_instances = true;
        });
    }

    /// Isolates an instance from all VMs, but not from the other instances.
    pub fn isolate_from_vms(&self, instance: &str) {
        self.instance(instance)
            .network
            .change(|links| links.cut_from_vms = true);
    }

    /// Isolates an instance from one VM.
    pub fn isolate_from_vm(&self, instance: &str, vm: &str) {
        self.instance(instance).network.change(|links| {
            links.cut_vms.insert(vm.to_owned());
        });
    }

    /// Isolates an instance from the other instances, but not from VMs.
    pub fn isolate_from_instances(&self, instance: &str) {
        self.instance(instance)
            .network
            .change(|links| links.cut_from_instances = true);
    }

    /// Restores all network links of an instance.
    pub fn restore_links(&self, instance: &str) {
        let instance = self.instance(instance);
        instance.network.change(|links| {
            links.cut_from_vms = false;
            links.cut_from_instances = false;
            links.cut_vms.clear();
        });
        instance.changed.send_modify(|count| *count += 1);
    }

    /// Pauses an instance as `SIGSTOP` would: it processes no requests, sends no responses and does
    /// not replicate. Connections stay open.
    pub fn pause(&self, instance: &str) {
        self.instance(instance)
            .network
            .change(|links| links.paused = true);
    }

    /// Resumes a paused instance.
    pub fn resume(&self, instance: &str) {
        let instance = self.instance(instance);
        instance.network.change(|links| links.paused = false);
        instance.changed.send_modify(|count| *count += 1);
    }

    /// Kills an instance: its connections are closed, its log and term are kept.
    pub fn kill(&self, instance: &str) {
        let index = self.index(instance);
        self.listeners
            .lock()
            .expect("no code panics while it holds the lock")[index]
            .abort();
        let instance = &self.instances[index];
        instance.network.change(|links| links.alive = false);
        instance.drop_sessions();
    }

    /// Restarts a killed instance on its previous address, with the log, term and role that it had
    /// when it was killed.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn restart(&self, instance: &str) -> std::io::Result<()> {
        let index = self.index(instance);
        let instance = &self.instances[index];
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(instance.address)?;
        let listener = socket.listen(128)?;
        self.listeners
            .lock()
            .expect("no code panics while it holds the lock")[index] = accept(instance, listener);
        instance.network.change(|links| links.alive = true);
        instance.changed.send_modify(|count| *count += 1);
        Ok(())
    }

    fn index(&self, name: &str) -> usize {
        let found = self
            .instances
            .iter()
            .position(|instance| instance.name == name);
        found.unwrap_or_else(|| {
            panic!("the group has no instance {name}; use a name from its settings")
        })
    }

    /// Sets the replication lag of an instance.
    pub fn set_lag(&self, instance: &str, lag: Duration) {
        let instance = self.instance(instance);
        instance
            .lag_ms
            .store(lag.as_millis() as u64, Ordering::Relaxed);
        instance.changed.send_modify(|count| *count += 1);
    }

    /// Sets a delay for every statement of an instance, in addition to its
    /// [`InstanceLimits::service_time_ms`].
    pub fn set_statement_delay(&self, instance: &str, delay: Duration) {
        self.instance(instance)
            .statement_delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns all violations that the instances have recorded.
    pub fn violations(&self) -> Vec<Violation> {
        self.checks.violations()
    }

    /// Returns the number of logged-in connections of an instance.
    pub fn connections(&self, instance: &str) -> usize {
        self.instance(instance).sessions().len()
    }

    /// Returns the number of reads, writes and savepoint statements that an instance has started.
    /// Status queries and term changes are not counted.
    pub fn statements(&self, instance: &str) -> u64 {
        self.instance(instance).statements.load(Ordering::Relaxed)
    }

    /// Returns the number of statements that an instance has started while it was a replica.
    pub fn replica_statements(&self, instance: &str) -> u64 {
        self.instance(instance)
            .replica_statements
            .load(Ordering::Relaxed)
    }

    /// Returns the number of statements that are running on an instance.
    pub fn running(&self, instance: &str) -> u32 {
        self.instance(instance).running.load(Ordering::Acquire)
    }

    /// Returns the positions of all entries in an instance's log.
    pub fn log(&self, instance: &str) -> Vec<LogPosition> {
        self.instance(instance)
            .core()
            .log
            .iter()
            .map(|entry| entry.position.clone())
            .collect()
    }

    /// Runs a query on the committed tables of an instance, without a connection and without any
    /// check, and returns the rows as text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a valid query.
    pub fn query(&self, instance: &str, text: &str) -> std::io::Result<Vec<Vec<String>>> {
        let read = || -> error::Result<Vec<Vec<String>>> {
            let plans = sql::parse(text)?;
            let core = self.instance(instance).core();
            let rows = core.store.run(&plans[0].sql, &[])?;
            let texts = |row: Vec<_>| {
                row.iter()
                    .map(|value| value::text_of(value::TEXT, value))
                    .collect()
            };
            Ok(rows.rows.into_iter().map(texts).collect())
        };
        read().map_err(std::io::Error::other)
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        for listener in self
            .listeners
            .lock()
            .expect("no code panics while it holds the lock")
            .iter()
        {
            listener.abort();
        }
        for instance in &self.instances {
            instance.drop_sessions();
        }
    }
}

fn accept(instance: &Arc<Instance>, listener: TcpListener) -> AbortHandle {
    let instance = Arc::downgrade(instance);
    let accepting = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let Some(instance) = instance.upgrade() else {
                return;
            };
            tokio::spawn(async move {
                let name = instance.name.clone();
                if let Err(error) = login::serve(instance, socket).await {
                    ::log::debug!("event=connection_ended instance={name} error={error:?}");
                }
            });
        }
    });
    accepting.abort_handle()
}
