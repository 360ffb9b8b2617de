//! Values of the wire, read strictly.

use merlinreel_policy::*;
use std::time::Duration;

/// The values of one message, read from left to right; each complaint names the value.
pub struct Values<'a>(pub std::str::Split<'a, char>);

impl<'a> Values<'a> {
    pub fn text(&mut self, name: &str) -> Result<&'a str, String> {
        match self.0.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(format!("{name} is missing")),
        }
    }

    /// None for an absent value, also at the end of a line that was cut after it.
    pub fn optional(&mut self, name: &str) -> Result<Option<f64>, String> {
        match self.0.next() {
            None | Some("" | "-") => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if value.is_finite() => Ok(Some(value)),
                _ => Err(format!("{name}: '{text}' is not a number")),
            },
        }
    }

    pub fn number(&mut self, name: &str) -> Result<f64, String> {
        self.optional(name)?.ok_or(format!("{name} is missing"))
    }

    pub fn integer(&mut self, name: &str) -> Result<u64, String> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| format!("{name}: '{text}' is not a whole number"))
    }

    pub fn index(&mut self, name: &str, below: u64) -> Result<u64, String> {
        match self.integer(name)? {
            value if value < below => Ok(value),
            value => Err(format!("{name}: {value} is out of range")),
        }
    }

    pub fn time(&mut self, name: &str) -> Result<Duration, String> {
        let seconds = self.number(name)?;
        Duration::try_from_secs_f64(seconds).map_err(|_| format!("{name}: {seconds} is no time"))
    }

    pub fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(format!("{name}: '{text}' is neither 1 nor 0")),
        }
    }

    pub fn load(&mut self) -> Result<LoadReport, String> {
        let mut load = LoadReport::default();
        let text = match self.0.next() {
            None | Some("" | "-") => return Ok(load),
            Some(text) => text,
        };
        for pair in text.split(',') {
            let (name, value) = pair
                .split_once(':')
                .ok_or(format!("feedback: '{pair}' is no pair"))?;
            let value = match value.parse::<f64>() {
                Ok(value) if value.is_finite() => value,
                _ => return Err(format!("feedback: '{value}' is not a number")),
            };
            match name {
                "busy_reqs" => load.in_flight = Some(value),
                "pending" => load.queued = Some(value),
                "cpu_share" => load.utilization = Some(value),
                "svc_ms" => load.service_time_ms = Some(value),
                "served_ps" => load.requests_per_second = Some(value),
                "failed_ps" => load.errors_per_second = Some(value),
                _ => {}
            }
        }
        Ok(load)
    }
}

pub fn outcome(code: &str) -> Result<AttemptOutcome, String> {
    Ok(match code {
        "delivered" => AttemptOutcome::Success,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Rejected,
        "expired" => AttemptOutcome::DeadlineExceeded,
        "dial_failed" => AttemptOutcome::ConnectionRefused,
        "dropped" => AttemptOutcome::ConnectionLost,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::NotSent,
        other => return Err(format!("stateCode: unknown '{other}'")),
    })
}

/// One server of a list, by its name on the wire.
pub struct ListedEndpoint {
    pub name: String,
    pub entry: Endpoint,
}

pub fn read_entry(values: &mut Values) -> Result<ListedEndpoint, String> {
    let name = values.text("server")?.to_owned();
    let zone = values.integer("failureDomain")? as u32;
    values.integer("shape")?;
    let cell = values.integer("cluster")? as u32;
    let state = match values.text("readiness")? {
        "U" => EndpointState::Ready,
        "L" => EndpointState::Draining,
        "D" => EndpointState::Removed,
        other => return Err(format!("readiness: unknown '{other}'")),
    };
    let weight = values.optional("scale")?.unwrap_or(1.0);
    let started_at = match values.optional("upSinceS")? {
        Some(at) if at > 0.0 => Duration::try_from_secs_f64(at).ok(),
        _ => None,
    };
    let entry = Endpoint {
        server: 0,
        ring_hash: ring_hash(&name),
        zone,
        cell,
        state,
        weight,
        started_at,
    };
    Ok(ListedEndpoint { name, entry })
}
