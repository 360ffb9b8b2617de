use crate::events::PeerMessage;
use crate::model::request_class::Idempotency;
use crate::peer_batch::CounterRow;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(peer_message(1, 5, &[row(3.0, None)]), 5.0 ; "new message")]
#[test_case(peer_message(1, 4, &[row(3.0, None)]), 8.0 ; "duplicate or late message")]
#[test_case(peer_message(0, 9, &[row(3.0, None)]), 8.0 ; "message of an earlier incarnation")]
#[test_case(peer_message(1, 5, &[CounterRow { plan: 7, ..row(3.0, None) }]), 8.0 ; "unknown plan")]
#[test_case(PeerMessage { from: 9, ..peer_message(1, 5, &[row(3.0, None)]) }, 8.0 ; "unknown sender")]
#[test_case(PeerMessage { from: 1, bytes: vec![0x82, 5, 9, 0x80] }, 8.0 ; "truncated row")]
fn only_a_new_valid_peer_message_is_applied(peer_message: PeerMessage, remaining: f64) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    limiter.peers.started_at = Some(at(0.9));
    let link = limiter.peers.link_mut(1);
    (link.incarnation, link.sequence) = (1, 4);
    account(&mut limiter);
    apply_peer_message(&mut limiter, at(1.0), &peer_message);
    let account = first_account(&mut limiter);
    assert!((account.remaining(at(1.0), &plan()) - remaining).abs() < 1e-6);
}
