use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::poll;
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::Gateway;
use crate::entry::health::{Health, Verdict};
use crate::entry::record::VmRecord;
use crate::name::{VmName, ZoneName};

/// Tasks used to wait for another failed ping, until their time was over.
#[tokio::test]
async fn tasks_leave_a_gateway_that_becomes_unreachable_as_time_passes() {
    let record = VmRecord {
        lease: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        availability_zone: ZoneName::from("a"),
        cpu_share: 1.0,
    };
    let test = async {
        let gateway = Rc::new(Gateway::new(VmName::from("vm-1"), &record));
        let mut waiting = pin!(gateway.wait_until_unreachable());
        assert!(poll!(&mut waiting).is_pending());
        gateway.record_health(Health::on_failed);
        gateway.record_health(Health::on_failed);
        while gateway.verdict() != Verdict::Unreachable {
            sleep(Duration::from_millis(10)).await;
        }
        gateway.maintain();
        assert!(poll!(&mut waiting).is_ready());
    };
    LocalSet::new().run_until(test).await;
}
