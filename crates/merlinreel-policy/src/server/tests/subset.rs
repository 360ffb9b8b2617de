use crate::model::fleet::FleetConfig;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

/// The minimum and maximum number of limiters whose subset contains a server. No server may be in no subset, or in the
/// subsets of all limiters where these are many.
#[test_case(1, 0, false => (0, 0) ; "no server")]
#[test_case(1, 3, true => (1, 1) ; "one limiter without a peer")]
#[test_case(300, 1, false => (300, 300) ; "a single server")]
#[test_case(4, 14, false => (4, 4) ; "all of four limiters")]
#[test_case(100, 60, false => (9, 11) ; "ten of a hundred limiters")]
#[test_case(300, 200, false => (9, 12) ; "ten of three hundred limiters")]
#[test_case(100, 60, true => (11, 29) ; "more limiters where half of the servers are starting")]
fn subsets_cover_the_servers_evenly(
    limiters: u32,
    servers: u32,
    half_are_starting: bool,
) -> (usize, usize) {
    let mut limiters_at_server = vec![0; servers as usize];
    for limiter_index in 0..limiters {
        let fleet = FleetConfig {
            limiters,
            own_index: limiter_index,
            ..fleet()
        };
        let mut limiter = limiter(Idempotency::Idempotent, fleet);
        limiter.servers.servers = (0..servers).map(|index| server(index, limiters)).collect();
        if half_are_starting {
            for server in limiter.servers.servers.values_mut().step_by(2) {
                server.slow_start_since = Some(at(1.0));
            }
        }
        limiter
            .servers
            .rebuild_subset(at(1.0), &endpoint_config(), &fleet);
        for server in limiter.servers.servers.values() {
            if !server.outside_subset {
                limiters_at_server[server.endpoint.server.0 as usize] += 1;
            }
        }
    }
    (
        limiters_at_server.iter().copied().min().unwrap_or(0),
        limiters_at_server.iter().copied().max().unwrap_or(0),
    )
}
