use super::*;
use reedwalk_scheduler::{AttemptNo, Settings};

fn peer(ordinal: u32, may_gossip: Option<bool>) -> Option<GossipPeer> {
    let mut settings = Settings::new(Vec::new(), Vec::new());
    (settings.gateways, settings.ordinal) = (6, ordinal);
    let mut deployment = reedwalk_settings::read(&serde_json::json!({"RequestClasses": []})).unwrap();
    (deployment.scheduler, deployment.sockets.may_gossip) = (settings, may_gossip);
    let mut peer = GossipPeer::new(&deployment, 7, millis(0))?;
    (0..4).for_each(|id| {
        peer.on_endpoint(&format!("10.0.0.{id}:1"), &EngineEntry::new(EngineId(id)), millis(0))
    });
    Some(peer)
}

#[test]
fn failure_reports_of_several_peers_eject_an_engine() {
    let mut peers: Vec<_> = (0..6).map(|n| peer(n, Some(true)).unwrap()).collect();
    let mut received = Vec::new();
    for step in 1..100 {
        let now = millis(step * 20_000);
        if step < 5 {
            // In each of the first steps, a request of another peer fails on engine 2.
            let request = RequestId(step);
            let peer = &mut peers[step as usize];
            peer.on_action(&Action::Send { request, engine: EngineId(2), timeout: None }, now);
            let (outcome, attempt) = (Outcome::Error, AttemptNo(0));
            peer.on_attempt_ended(
                &AttemptEnded { request, attempt, outcome, closed: false, usage: None, load: None },
                now,
            );
        }
        let notes: Vec<_> = peers.iter_mut().map(|peer| peer.act(now)).collect();
        for (from, (sent, events)) in notes.into_iter().enumerate() {
            received.extend(events.into_iter().filter(|_| from == 0));
            sent.iter().for_each(|(to, body)| peers[*to as usize].on_note(from as u64, body, now));
        }
    }
    assert!(matches!(received[..], [Event::EjectedByGossip { engine: EngineId(2), .. }, ..]), "{received:?}");
}

#[test]
fn gossip_is_off_unless_the_settings_allow_it() {
    assert!(peer(0, Some(false)).is_none() && peer(0, None).is_none());
}
