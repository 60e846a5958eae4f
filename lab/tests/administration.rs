//! The administration API on a running fleet: keys, presets, races, lost responses and outages.

use std::time::{Duration, Instant};

use currantlb::admin::model::{IssuedKey, Status, Versioned};
use currantlb::admin::write::Accepted;
use currantlb::configuration::PresetInForce;
use currantlb_lab::client::Login;
use currantlb_lab::fleet::{Fleet, FleetSettings, OPERATOR_TOKEN};
use currantlb_lab::platform::Outage;
use reqwest::{Client, Method, Response, StatusCode};
use serde::de::DeserializeOwned;

/// Time within which a change must be in force on every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time limit for waits that have no limit of their own.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

const WORKSPACE: &str = "/v1/workspaces/petaling";

struct Api {
    fleet: Fleet,
    http: Client,
}

impl Api {
    async fn start() -> Self {
        let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
        let http = Client::builder().no_proxy().build().unwrap();
        let api = Self { fleet, http };
        for vm in 0..api.fleet.len() {
            api.wait_until(vm, |status| status.standing == "serving", WAIT_LIMIT)
                .await;
        }
        api
    }

    fn url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.fleet.administration_address(vm))
    }

    async fn get<T: DeserializeOwned>(&self, vm: usize, path: &str) -> T {
        let request = self
            .http
            .get(self.url(vm, path))
            .bearer_auth(OPERATOR_TOKEN);
        request.send().await.unwrap().json().await.unwrap()
    }

    async fn post(&self, vm: usize, path: &str, operation: &str, expected: u64) -> Response {
        let request = self.http.request(Method::POST, self.url(vm, path));
        let request = request
            .bearer_auth(OPERATOR_TOKEN)
            .header("Operation-Id", operation);
        request
            .header("If-Match", expected.to_string())
            .send()
            .await
            .unwrap()
    }

    async fn revision(&self, path: &str) -> u64 {
        let found: Versioned<serde_json::Value> = self.get(0, path).await;
        found.revision.unwrap()
    }

    async fn issue(&self, operation: &str) -> IssuedKey {
        let revision = self.revision(WORKSPACE).await;
        let response = self
            .post(0, &format!("{WORKSPACE}/keys"), operation, revision)
            .await;
        assert_eq!(response.status(), StatusCode::OK);
        response.json().await.unwrap()
    }

    async fn wait_until(&self, vm: usize, is_reached: impl Fn(&Status) -> bool, limit: Duration) {
        let start = Instant::now();
        loop {
            let status: Status = self.get(vm, "/v1/status").await;
            if is_reached(&status) {
                return;
            }
            assert!(start.elapsed() < limit, "VM {vm} still reports {status:?}");
            tokio::task::yield_now().await;
        }
    }

    /// Waits until a revision is in force on every VM.
    async fn wait_for_revision(&self, revision: u64) {
        for vm in 0..self.fleet.len() {
            self.wait_until(vm, |status| status.revision >= revision, PROPAGATION_LIMIT)
                .await;
        }
    }

    async fn log_in(&self, vm: usize, key: &str) -> Result<tokio_postgres::Client, String> {
        let login = Login {
            workspace: "petaling".to_owned(),
            key: Some(key.to_owned()),
            database: "canopy-1".to_owned(),
            options: None,
        };
        let connecting = self
            .fleet
            .connector()
            .connect(self.fleet.caller_address(vm), &login);
        connecting.await.map_err(|error| error.to_string())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_issued_key_works_on_every_vm_until_it_is_withdrawn() {
    let api = Api::start().await;
    let issued = api.issue("issue-1").await;
    let key = issued.key.clone().unwrap();
    api.wait_for_revision(issued.revision).await;
    let mut callers = Vec::new();
    for vm in 0..api.fleet.len() {
        callers.push(api.log_in(vm, &key).await.unwrap());
    }

    let path = format!("{WORKSPACE}/keys/{}/withdraw", issued.id);
    let response = api.post(1, &path, "withdraw-1", issued.revision).await;
    let withdrawn: Accepted = response.json().await.unwrap();
    let accepted_at = Instant::now();
    for (vm, caller) in callers.iter().enumerate() {
        while !caller.is_closed() {
            assert!(
                accepted_at.elapsed() < PROPAGATION_LIMIT,
                "VM {vm} keeps the connection of a withdrawn key"
            );
            tokio::task::yield_now().await;
        }
        assert!(
            api.log_in(vm, &key).await.is_err(),
            "VM {vm} accepts a withdrawn key"
        );
    }
    api.wait_for_revision(withdrawn.revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_switches_exactly_one_takes_effect_on_every_vm() {
    let api = Api::start().await;
    let revision = api.revision("/v1/in-force").await;
    let (one, two) = tokio::join!(
        api.post(0, "/v1/presets/peak/switch", "switch-1", revision),
        api.post(1, "/v1/presets/maintenance/switch", "switch-2", revision),
    );
    let mut statuses = [one.status(), two.status()];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    let (winner, preset) = if one.status() == StatusCode::OK {
        (one, "peak")
    } else {
        (two, "maintenance")
    };
    let accepted: Accepted = winner.json().await.unwrap();
    api.wait_for_revision(accepted.revision).await;
    for vm in 0..api.fleet.len() {
        let status: Status = api.get(vm, "/v1/status").await;
        assert_eq!(status.preset.unwrap().as_str(), preset, "VM {vm}");
    }
    let is_everywhere = |status: &Status| status.revision_everywhere >= accepted.revision;
    api.wait_until(2, is_everywhere, WAIT_LIMIT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retried_switch_takes_effect_once_after_a_lost_response() {
    let api = Api::start().await;
    let before: Versioned<PresetInForce> = api.get(0, "/v1/in-force").await;
    api.fleet.stand_ins.platform.drop_responses(1);
    let expected = before.revision.unwrap();
    let mut outcome = api
        .post(0, "/v1/presets/peak/switch", "switch-1", expected)
        .await;
    // The lost response may have been that to a read by a VM instead of that to the write.
    while outcome.status() == StatusCode::SERVICE_UNAVAILABLE {
        outcome = api
            .post(0, "/v1/presets/peak/switch", "switch-1", expected)
            .await;
    }
    assert_eq!(outcome.status(), StatusCode::OK);
    let repeated = api
        .post(1, "/v1/presets/peak/switch", "switch-1", expected)
        .await;
    let repeated: Accepted = repeated.json().await.unwrap();
    assert!(repeated.is_repeated);
    let after: Versioned<PresetInForce> = api.get(0, "/v1/in-force").await;
    assert_eq!(after.value.version, before.value.version + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn during_an_outage_reads_come_from_memory_and_writes_are_refused() {
    let api = Api::start().await;
    let before: Versioned<PresetInForce> = api.get(0, "/v1/in-force").await;
    api.fleet.stand_ins.platform.set_outage(Outage::Refuse);
    let during: Versioned<PresetInForce> = api.get(0, "/v1/in-force").await;
    assert_eq!(during.revision, None);
    assert_eq!(during.value, before.value);
    let refused = api.post(0, "/v1/presets/peak/switch", "switch-1", 1).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let status: Status = api.get(0, "/v1/status").await;
    assert_eq!(status.standing, "serving");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_valid_token_or_headers_are_refused() {
    let api = Api::start().await;
    let anonymous = api.http.get(api.url(0, "/v1/status")).send().await.unwrap();
    assert_eq!(anonymous.status(), StatusCode::UNAUTHORIZED);
    let request = api
        .http
        .get(api.url(0, "/v1/status"))
        .bearer_auth("other-token");
    assert_eq!(
        request.send().await.unwrap().status(),
        StatusCode::UNAUTHORIZED
    );
    let request = api
        .http
        .post(api.url(0, "/v1/presets/peak/switch"))
        .bearer_auth(OPERATOR_TOKEN);
    assert_eq!(
        request.send().await.unwrap().status(),
        StatusCode::BAD_REQUEST
    );
    for path in ["/healthz", "/readyz", "/metrics", "/openapi.json"] {
        let response = api.http.get(api.url(0, path)).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "{path}");
    }
}
