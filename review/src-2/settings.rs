//! Configurations like those of a small deployment.
#![allow(dead_code)]

use crate::kit::Discovery;
use std::net::SocketAddr;

/// A plan of the settings. Without a ceiling `ceiling` is zero.
pub struct Plan {
    pub name: &'static str,
    pub rate: f64,
    pub burst: f64,
    pub price: f64,
    pub ceiling: Ceiling,
}

#[derive(Clone, Copy, Default)]
pub struct Ceiling {
    pub rate: f64,
    pub depth: f64,
    pub slack: f64,
}

pub const NO_CEILING: Ceiling = Ceiling { rate: 0.0, depth: 0.0, slack: 0.0 };

impl Plan {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","unitsPerS":{:?},"mostAtOnce":{:?},"maxOut":0,"price":{:?},"overrunCost":0.8,"beyondEarns":0.0,"ceilingRate":{:?},"capDepth":{:?},"capSlack":{:?}}}"#,
            self.name, self.rate, self.burst, self.price, self.ceiling.rate, self.ceiling.depth, self.ceiling.slack
        )
    }
}

/// A class of the settings; `rest` holds its idempotency.
pub struct Class {
    pub name: &'static str,
    pub objective_s: f64,
    pub deadline_s: f64,
    pub worth: f64,
    pub late_share: f64,
    pub rest: &'static str,
}

impl Class {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","promiseS":{:?},"hardLimitS":{:?},"worth":{:?},"lateShare":{:?},"streaming":false,{}}}"#,
            self.name, self.objective_s, self.deadline_s, self.worth, self.late_share, self.rest
        )
    }
}

pub const SAFE: &str = r#""idempotency":"read_like","group":"all","keyTtlS":5.0"#;
pub const UNSAFE: &str = r#""idempotency":"non_idempotent","group":"all","keyTtlS":5.0"#;
pub const KEYED_ZONE: &str = r#""idempotency":"idempotency_key","group":"zone","keyTtlS":0.6"#;

/// The configuration of one limiter.
pub struct Site {
    pub limiters: u32,
    pub rank: u32,
    pub listen: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub memory_mb: u32,
    pub sockets: u32,
    pub drain_grace_s: f64,
    pub send_cap: u32,
}

impl Site {
    pub fn single(listen: SocketAddr) -> Site {
        Site {
            limiters: 1,
            rank: 0,
            listen,
            ops: None,
            peer_listen: None,
            peers: Vec::new(),
            memory_mb: 192,
            sockets: 1024,
            drain_grace_s: 2.0,
            send_cap: 5,
        }
    }

    pub fn json(&self, discovery: &Discovery, classes: &[Class], plans: &[Plan]) -> String {
        let list = |texts: Vec<String>| texts.join(",");
        let classes = list(classes.iter().map(Class::json).collect());
        let plans = list(plans.iter().map(Plan::json).collect());
        let mut extra = String::new();
        if let Some(ops) = self.ops {
            extra += &format!(r#""ops":"{ops}","#);
        }
        if let Some(peer) = self.peer_listen {
            let peers = list(self.peers.iter().map(|peer| format!("\"{peer}\"")).collect());
            extra += &format!(r#""peer_listen":"{peer}","peers":[{peers}],"#);
        }
        let peers = self.peer_listen.is_some();
        format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",{extra}
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{{"balancers":{},"rank":{},"zone":0,"dcs":["a","b"],"kinds":["std-2c"],"discovery":"automatic",
"kindOfService":"gate","callers":{{"marksRetry":false}},
"classes":[{classes}],"packages":[{plans}],
"familyInfo":{{"hasCounter":false,"counterPrice":0.0,"counterTimeoutS":0.0,"inboxPerS":40.0,"maxUnits":8,"meterPeriodS":0.0,"settles":false}},
"policyLimits":{{"connIdleS":15.0,"connectTimeoutS":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"maxRetryAfterS":1.0,"mayCancel":true,"mostHeld":20000,"peers":{peers},"probes":false,"retryAfter":true,"secondCopies":false,"sendCap":{},"streamsPerConn":1}},
"report":{{"how":"none","fields":[]}},
"rules":{{"answerSlackS":0.016,"askWithinS":10.0,"startCapacity":0.2,"coldS":17.0,"drainGraceS":{:?},"overloadFactor":2.5,"fallS":3.0}},
"stage":0,"tiers":["workers"],"tickS":0.002,"weightSource":"none"}}}}"#,
            self.rank, self.listen, self.discovery(discovery), self.memory_mb, self.sockets, discovery.known(),
            self.limiters, self.rank, self.send_cap, self.drain_grace_s
        )
    }

    fn discovery(&self, discovery: &Discovery) -> SocketAddr {
        discovery.address
    }
}
