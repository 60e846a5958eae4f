//! The stand-in for the configuration service, called through its JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use currantlb_lab::platform::{CallKind, Outage, Platform};
use futures::StreamExt;
use serde_json::{Value, json};

async fn start() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("the platform starts")
}

fn encoded(text: &str) -> String {
    STANDARD.encode(text)
}

async fn call(platform: &Platform, path: &str, body: Value) -> reqwest::Result<Value> {
    let url = format!("{}{path}", platform.endpoint());
    reqwest::Client::new()
        .post(url)
        .json(&body)
        .send()
        .await?
        .json()
        .await
}

fn swap(key: &str, expected: &str, value: &str) -> Value {
    json!({
        "compare": [{ "key": encoded(key), "target": "MOD", "result": "EQUAL", "mod_revision": expected }],
        "success": [{ "request_put": { "key": encoded(key), "value": encoded(value) } }],
        "failure": [{ "request_range": { "key": encoded(key) } }],
    })
}

#[tokio::test]
async fn racing_swaps_get_one_success_and_one_conflict() {
    let platform = start().await;
    let succeeded = call(&platform, "/v3/kv/txn", swap("k", "0", "a"))
        .await
        .unwrap();
    assert_eq!(succeeded["succeeded"], json!(true));
    let refused = call(&platform, "/v3/kv/txn", swap("k", "0", "b"))
        .await
        .unwrap();
    assert!(refused.get("succeeded").is_none());
    let current = &refused["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(current["value"], json!(encoded("a")));
    assert_eq!(current["mod_revision"], succeeded["header"]["revision"]);
}

#[tokio::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let platform = start().await;
    platform.drop_responses(1);
    let response = call(&platform, "/v3/kv/txn", swap("k", "0", "a")).await;
    assert!(response.is_err());
    assert_eq!(platform.get("k").as_deref(), Some(b"a".as_slice()));
    assert_eq!(platform.calls()[&CallKind::Txn], 1);
}

#[tokio::test]
async fn a_watch_reports_past_and_future_changes() {
    let platform = start().await;
    platform.put("p/a", b"1".to_vec());
    let request = json!({ "create_request": {
        "key": encoded("p/"), "range_end": encoded("p0"), "start_revision": "2",
    } });
    let url = format!("{}/v3/watch", platform.endpoint());
    let response = reqwest::Client::new()
        .post(url)
        .json(&request)
        .send()
        .await
        .unwrap();
    let mut chunks = response.bytes_stream();
    let mut next = async || {
        let chunk = chunks.next().await.expect("the watch is open").unwrap();
        serde_json::from_slice::<Value>(&chunk).unwrap()
    };
    assert_eq!(next().await["result"]["created"], json!(true));
    assert_eq!(
        next().await["result"]["events"][0]["kv"]["key"],
        json!(encoded("p/a"))
    );
    platform.put("other", b"1".to_vec());
    platform.delete("p/a");
    assert_eq!(next().await["result"]["events"][0]["type"], json!("DELETE"));
}

#[tokio::test]
async fn revoking_a_lease_deletes_its_keys() {
    let platform = start().await;
    let granted = call(&platform, "/v3/lease/grant", json!({ "TTL": "60" }))
        .await
        .unwrap();
    let lease = &granted["ID"];
    let put = json!({ "key": encoded("k"), "value": encoded("v"), "lease": lease });
    call(&platform, "/v3/kv/put", put).await.unwrap();
    let renewed = call(&platform, "/v3/lease/keepalive", json!({ "ID": lease }))
        .await
        .unwrap();
    assert_eq!(renewed["result"]["TTL"], json!("60"));
    call(&platform, "/v3/lease/revoke", json!({ "ID": lease }))
        .await
        .unwrap();
    assert!(platform.get("k").is_none());
    let expired = call(&platform, "/v3/lease/keepalive", json!({ "ID": lease }))
        .await
        .unwrap();
    assert!(expired["result"].get("TTL").is_none());
}

#[tokio::test]
async fn during_an_outage_calls_are_refused_or_delayed() {
    let platform = start().await;
    platform.set_outage(Outage::Refuse);
    let refused = call(&platform, "/v3/kv/range", json!({ "key": encoded("k") }))
        .await
        .unwrap();
    assert_eq!(refused["code"], json!(14));
    platform.set_outage(Outage::Hang);
    let delayed = call(&platform, "/v3/kv/range", json!({ "key": encoded("k") }));
    let end = async {
        tokio::task::yield_now().await;
        platform.set_outage(Outage::None);
    };
    let (response, ()) = tokio::join!(delayed, end);
    assert!(response.unwrap().get("header").is_some());
    platform.set_delay(Duration::from_millis(1));
    assert!(
        call(&platform, "/v3/kv/range", json!({ "key": encoded("k") }))
            .await
            .is_ok()
    );
}
