//! Case 6: a new configuration with one more plan, and a client of that plan.

mod kit;
mod settings;

use kit::{Ask, Client, Discovery, Instance, Limiter, ms, record};
use settings::{Class, NO_CEILING, Plan, SAFE, Site, UNSAFE};
use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

fn classes() -> Vec<Class> {
    vec![
        Class { name: "subset-fetch", objective_s: 0.5, deadline_s: 1.5, worth: 1.0, late_share: 0.0, rest: SAFE },
        Class { name: "licence-charge", objective_s: 0.75, deadline_s: 3.0, worth: 3.0, late_share: 0.0, rest: UNSAFE },
    ]
}

fn plans(with_new: bool) -> Vec<Plan> {
    let mut plans = vec![
        Plan { name: "basic", rate: 7.0, burst: 35.0, price: 1.1, ceiling: NO_CEILING },
        Plan { name: "studio", rate: 45.0, burst: 90.0, price: 1.6, ceiling: NO_CEILING },
    ];
    if with_new {
        plans.push(Plan { name: "portal", rate: 45.0, burst: 90.0, price: 2.0, ceiling: NO_CEILING });
    }
    plans
}

/// Asks once on a connection of its own; the end of the request goes to `violations` if it is no whole answer in time.
fn ask(limiter: std::net::SocketAddr, ask: &Ask, violations: &Mutex<Vec<String>>) -> Option<u16> {
    let started = Instant::now();
    let mut client = match Client::connect(limiter) {
        Ok(client) => client,
        Err(error) => {
            record(&format!("client: {} {} not connected: {error}", ask.id, ask.plan));
            return None;
        }
    };
    record(&format!("client: {} {} {} sent", ask.id, ask.class, ask.plan));
    match client.call(&ask.wire(), ms(ask.remaining_ms + 550)) {
        Ok(answer) => {
            record(&format!("client: {} {} answered {} after {:?}", ask.id, ask.plan, answer.status(), started.elapsed()));
            Some(answer.status())
        }
        Err(error) => {
            record(&format!("client: {} {} has no answer after {:?}: {error}", ask.id, ask.plan, started.elapsed()));
            violations.lock().unwrap().push(format!(
                "request {} of plan {} was taken and never answered ({error} after {:?})",
                ask.id, ask.plan, started.elapsed()
            ));
            None
        }
    }
}

fn main() {
    kit::open_record();
    let server = |name: &'static str| {
        kit::listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(request) = kit::read_message(&mut reader)? {
                let id = request.header("x-txn").unwrap_or("-").to_owned();
                record(&format!("{name}: {id} arrived"));
                thread::sleep(ms(100));
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")?;
                record(&format!("{name}: {id} ran"));
            }
            Ok(())
        })
    };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let discovery = Discovery::start(names.map(|name| Instance::up(name, server(name))).to_vec());
    let listen = kit::free_address();
    let site = Site::single(listen);
    let mut limiter = Limiter::start("n0", &site.json(&discovery, &classes(), &plans(false)), None);
    limiter.wait_until_up(listen);
    let violations = Arc::new(Mutex::new(Vec::new()));
    for customer in 0..6 {
        if ask(listen, &Ask::get("subset-fetch", "basic", 100 + customer, 1500), &violations) != Some(200) {
            kit::cannot_run("a request before the disruption was not served");
        }
    }
    if kit::trouble() {
        limiter.reload(&site.json(&discovery, &classes(), &plans(true)));
    }
    // Clients use what a new configuration brings 1.2 s later.
    thread::sleep(ms(1300));
    if let Some(end) = limiter.ended() {
        violations.lock().unwrap().push(format!("the limiter ended at SIGHUP: {end}"));
    }
    // Customers of the plans known before go on, and some of the new plan come.
    let mut clients = Vec::new();
    for number in 0..30 {
        let violations = violations.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(ms(20 * number));
            let plan = if number % 3 == 2 && number > 9 { "portal" } else { "studio" };
            let mut request = Ask::get("subset-fetch", plan, 200 + number, 1500);
            if number % 3 == 1 {
                request.class = "licence-charge";
                request.remaining_ms = 3000;
                request.body = Some(b"units=1".to_vec());
            }
            ask(listen, &request, &violations);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = limiter.ended() {
        violations.lock().unwrap().push(format!("the limiter crashed: {end}"));
    }
    limiter.record_log();
    drop(limiter);
    let violations = violations.lock().unwrap().clone();
    std::process::exit(kit::verdict(&violations));
}
