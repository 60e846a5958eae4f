//! Runs the daemon as operators start it: one process per VM, each with its own settings file.

use std::path::Path;
use std::time::Duration;

use currantlb_lab::client::{Connector, Login};
use currantlb_lab::daemons::DaemonProcess;
use currantlb_lab::processes::{self, VmFiles};
use currantlb_lab::stand_ins::StandInSettings;
use tokio_postgres::Client;

/// Time within which every VM must serve statements, and stop when asked to.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

async fn connect(connector: &Connector, vm: &VmFiles, database: &str) -> Client {
    let login = Login {
        workspace: "petaling".to_owned(),
        database: database.to_owned(),
        ..Login::default()
    };
    let connecting = async {
        loop {
            if let Ok(client) = connector.connect(vm.caller_address, &login).await
                && client.simple_query("SELECT 1").await.is_ok()
            {
                return client;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let connected = tokio::time::timeout(READY_TIMEOUT, connecting).await;
    connected.unwrap_or_else(|_| panic!("{} did not serve {database} in time", vm.name))
}

#[tokio::test(flavor = "multi_thread")]
async fn statements_run_through_every_process_and_survive_a_planned_stop() {
    let directory = tempfile::tempdir().unwrap();
    let prepared = processes::prepare(StandInSettings::default(), 3, directory.path()).await;
    let (stand_ins, index) = prepared.unwrap_or_else(|error| panic!("{error}"));
    let binary = Path::new(env!("CARGO_BIN_EXE_currantlb"));
    let start = |vm| DaemonProcess::start(binary, vm).expect("the daemon starts");
    let mut daemons: Vec<_> = index.vms.iter().map(start).collect();
    let connector = Connector::new(&index.tls_ca_file).unwrap();

    for database in ["canopy-1", "canopy-2", "canopy-3"] {
        for (number, vm) in index.vms.iter().enumerate() {
            let client = connect(&connector, vm, database).await;
            let save = format!(
                "INSERT INTO inspection (id, workspace) VALUES ('{database}-{number}', 'petaling')"
            );
            client
                .batch_execute(&save)
                .await
                .expect("the save is acknowledged");
        }
    }

    let first = daemons.remove(0);
    let has_succeeded = tokio::time::timeout(READY_TIMEOUT, first.stop())
        .await
        .expect("the VM stops in time")
        .unwrap();
    assert!(has_succeeded, "the VM exited without an error");

    for database in ["canopy-1", "canopy-2", "canopy-3"] {
        for vm in &index.vms[1..] {
            let client = connect(&connector, vm, database).await;
            let row = client
                .query_one("SELECT count(*) FROM inspection", &[])
                .await
                .expect("the read runs");
            assert_eq!(row.get::<_, i64>(0), 3, "{database} through {}", vm.name);
        }
    }
    assert_eq!(stand_ins.violations(), []);
}
