//! Fuzzing of the decoders of what VMs send to each other and keep in the store.

mod fuzz;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use currantlb::configuration::{Revision, Timeline};
use currantlb::entry::catalog::{Consistency, Route};
use currantlb::entry::channel::{Channel, PeerRequest, PeerResponse};
use currantlb::entry::datagram::{self, Datagram, LimitMessage, Loan, LoanAsk, RecordUpdate};
use currantlb::entry::encoded::EncodedConfiguration;
use currantlb::entry::position::Position;
use currantlb::entry::record::{
    FailoverLeaseRecord, GatewayList, Phase, PrimaryRecord, PromotionCalls, SettledTimelineRecord,
    VmRecord,
};
use currantlb::entry::statement::{Access, InstanceCommand, Prepared, SessionState};
use currantlb::entry::task::{Action, Reply, Runnable, Task};
use fuzz::{Decoder, run_all};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

fn record() -> PrimaryRecord {
    PrimaryRecord {
        primary: "i-p".into(),
        term: 3,
        phase: Phase::Moving {
            holder: "vm-1".into(),
            generation: 7,
        },
        instances: 3,
        timeline: Timeline(1),
        promotion_calls: PromotionCalls::Unknown,
        started_at_ms: BTreeMap::new(),
    }
}

fn registration() -> VmRecord {
    VmRecord {
        lease: 7,
        peer_address: ([127, 0, 0, 1], 7_560).into(),
        availability_zone: "a".into(),
        cpu_share: 0.25,
    }
}

fn datagrams() -> Vec<Datagram> {
    let update = RecordUpdate {
        database: "db".into(),
        record: record(),
        revision: 9,
    };
    vec![
        Datagram::VersionRequest { version: 7 },
        Datagram::Version {
            version: 7,
            gateways_revision: 9,
        },
        Datagram::Record(update.clone()),
        Datagram::Confirmation {
            vm: "vm-1".into(),
            database: "db".into(),
            generation: 7,
        },
        Datagram::ConfirmationAck {
            database: "db".into(),
            generation: 7,
        },
        Datagram::SubleaseRequest { nonce: 1 },
        Datagram::Sublease {
            nonce: 1,
            valid_ms: 400,
            version: 7,
            records: vec![update],
        },
        Datagram::Limit(LimitMessage::LoanRequest {
            nonce: 9,
            asks: vec![LoanAsk {
                workspace: "council".into(),
                wanted: 2,
            }],
        }),
        Datagram::Limit(LimitMessage::Loan {
            nonce: 9,
            loans: vec![Loan {
                tokens: 1,
                wait_ms: 300,
            }],
        }),
    ]
}

fn requests() -> Vec<PeerRequest> {
    let prepared = Prepared {
        access: Access::Write,
        shape: "tree".into(),
    };
    let runnable = Runnable {
        command: InstanceCommand::Execute {
            id: "c-1".into(),
            name: "s1".into(),
            arguments: "1a4".into(),
        },
        access: Access::Write,
        prepared: Some(prepared),
    };
    let route = Route {
        name: "r-1".into(),
        database: "db".into(),
        consistency: Consistency::Session {
            staleness: Duration::from_secs(2),
        },
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(200),
        priority: 1,
        allows_anonymous: false,
    };
    let task = |action| PeerRequest::Run {
        task: Box::new(Task {
            id: "c-1".into(),
            route: Arc::new(route.clone()),
            workspace: "council".into(),
            mark: Some(Position { term: 3, number: 9 }),
            values: Arc::default(),
            attempts: 0,
            action,
        }),
        force: true,
    };
    let begin = Some(Access::Write);
    let text = "COMMIT".into();
    vec![
        PeerRequest::Configuration,
        PeerRequest::Ping,
        task(Action::Autocommit(runnable)),
        task(Action::Commit { begin, text }),
    ]
}

fn responses() -> Vec<PeerResponse> {
    let encoded = EncodedConfiguration::compress(Revision(9), b"{\"version\": 1, \"routes\": []}");
    let list = GatewayList {
        revision: Revision(9),
        gateways: BTreeMap::from([("vm-1".into(), registration())]),
    };
    vec![
        PeerResponse::Configuration(Some(encoded)),
        PeerResponse::Gateways(list),
        PeerResponse::Done {
            reply: Box::new(Reply::done(SessionState::Open)),
            primary_zone: None,
        },
        PeerResponse::Declined,
    ]
}

fn json<T: Serialize + DeserializeOwned + 'static>(
    name: &'static str,
    valid: &T,
) -> Decoder<'static> {
    let valid = vec![serde_json::to_vec(valid).unwrap()];
    Decoder::of_whole(name, valid, |bytes| serde_json::from_slice::<T>(bytes))
}

#[test]
fn malformed_datagrams_and_records_are_rejected() {
    let datagrams = datagrams()
        .iter()
        .map(|datagram| datagram::encode(datagram).unwrap())
        .collect();
    let compressed = EncodedConfiguration::compress(Revision(9), &b"route ".repeat(50));
    let compressed = vec![postcard::to_stdvec(&compressed).unwrap()];
    let lease = FailoverLeaseRecord {
        holder: "vm-1".into(),
        lease: 7,
    };
    run_all(&[
        Decoder::of_whole("datagram", datagrams, datagram::decode),
        Decoder::of_whole("compressed configuration", compressed, |bytes| {
            let encoded: EncodedConfiguration =
                postcard::from_bytes(bytes).map_err(|error| error.to_string())?;
            encoded.decompress().map_err(|error| error.to_string())
        }),
        json("primary record", &record()),
        json("registration", &registration()),
        json("failover lease", &lease),
        json("settled timeline", &SettledTimelineRecord::default()),
    ]);
}

/// Passes the parts of a frame through a connection, as between two VMs.
async fn receive<T: DeserializeOwned>(
    listener: &TcpListener,
    parts: &[Vec<u8>],
) -> Result<(), String> {
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (sender, accepted) = tokio::join!(connecting, listener.accept());
    let mut sender = sender.unwrap();
    let mut channel = Channel::new(accepted.unwrap().0).unwrap();
    let sending = async move {
        for part in parts {
            // The receiver closes the connection at the first malformed message.
            if sender.write_all(part).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let receiving = async {
        while channel
            .receive::<T>()
            .await
            .map_err(|error| error.to_string())?
            .is_some()
        {}
        Ok(())
    };
    tokio::join!(sending, receiving).1
}

fn frames<T: Serialize>(messages: &[T]) -> Vec<Vec<u8>> {
    let frame = |message| {
        let message = postcard::to_stdvec(message).unwrap();
        let length = u32::try_from(message.len()).unwrap();
        [length.to_be_bytes().to_vec(), message].concat()
    };
    messages.iter().map(frame).collect()
}

#[test]
fn malformed_frames_are_rejected() {
    let runtime = Runtime::new().unwrap();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    run_all(&[
        Decoder {
            name: "request frame",
            valid: frames(&requests()),
            decode: Box::new(|parts| runtime.block_on(receive::<PeerRequest>(&listener, parts))),
        },
        Decoder {
            name: "response frame",
            valid: frames(&responses()),
            decode: Box::new(|parts| runtime.block_on(receive::<PeerResponse>(&listener, parts))),
        },
    ]);
}
