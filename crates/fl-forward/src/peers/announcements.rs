//! Announces to the peers what they should know before the next report: calls with long prompts, so
//! that they place no others behind them, and slowdowns of servers.

use super::Datagram;
use crate::clock::boot_time;
use crate::node::Node;
use crate::servers::ChosenServer;
use fl_routing::call_announcements::is_worth_announcing;
use fl_routing::load_estimate::duration_from_ms;
use fl_routing::peer_loads::AnnouncedCall;
use fl_routing::rendezvous::name_hash;
use fl_routing::server_speed::AnnouncedSlowdown;

/// Announces a slowdown that a server has just stated, if the budget allows it.
pub fn announce_slowdown(node: &Node, slowdown: AnnouncedSlowdown) {
    if node.peers.take_slowdown_announcement(boot_time()) {
        metrics::counter!("fl_slowdowns_announced_total").increment(1);
        node.peers.send_to_all(&Datagram::SlowdownStated(slowdown));
    }
}

/// Announces a call that this node is about to send to the chosen server, if its prompt keeps the
/// server busy for long and the budget allows it.
pub fn announce_call(node: &Node, chosen: &ChosenServer, is_urgent: bool) {
    let prefill_tokens = chosen.placement.prefill_tokens;
    if prefill_tokens == 0 {
        return;
    }
    let mean_ms = node.servers.prefill_rate().prefill_ms(prefill_tokens);
    let prefill_ms = chosen.speed.work_ms(mean_ms);
    let Some(shortest_target) = node.route_table.urgencies().shortest_target() else { return };
    if !is_worth_announcing(duration_from_ms(prefill_ms), shortest_target) {
        return;
    }
    let Some(after_report) = node.peers.take_announcement(boot_time()) else {
        metrics::counter!("fl_calls_unannounced_total").increment(1);
        return;
    };
    metrics::counter!("fl_calls_announced_total").increment(1);
    let name_hash = name_hash(&chosen.entry.name);
    let call = AnnouncedCall { after_report, name_hash, prefill_tokens, is_urgent };
    node.peers.send_to_all(&Datagram::CallAnnounced(call));
}
