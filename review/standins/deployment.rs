//! A deployment that serves: processes, servers, and a first configuration.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{CONTROL_PORT, Fleet, Record, SERVER_PORT, fail},
    operator::{Route, configuration, put},
    server::{self, Behaviour, Seen, Server, Setup},
};

pub struct Deployment {
    pub fleet: Fleet,
    pub servers: Vec<Arc<Server>>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Deployment {
    /// Starts a deployment with a side for each of `services`. `catalogue` is
    /// divided by key. Returns when all keys are held.
    pub fn start(
        record: &Record,
        services: &[&str],
        timeout_s: f64,
        behaviour: Option<Behaviour>,
    ) -> Self {
        Self::start_with(
            record,
            services,
            timeout_s,
            0.5,
            behaviour,
            Duration::from_millis(20),
        )
    }

    /// As [`start`](Self::start), with the objective of the routes and the time
    /// that servers work on a request.
    pub fn start_with(
        record: &Record,
        services: &[&str],
        timeout_s: f64,
        slo_s: f64,
        behaviour: Option<Behaviour>,
        work: Duration,
    ) -> Self {
        Self::with_fleet(
            record,
            Fleet::new(services, "heartbeat"),
            services,
            timeout_s,
            slo_s,
            behaviour,
            work,
        )
    }

    /// As [`start_with`](Self::start_with), with a fleet whose processes have not
    /// been started.
    pub fn with_fleet(
        record: &Record,
        mut fleet: Fleet,
        services: &[&str],
        timeout_s: f64,
        slo_s: f64,
        behaviour: Option<Behaviour>,
        work: Duration,
    ) -> Self {
        fleet.start();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let servers: Vec<_> = fleet
            .sides
            .iter()
            .zip(services)
            .map(|(side, service)| {
                let setup = Setup {
                    id: format!("i-{}", side.name),
                    service: (*service).to_owned(),
                    address: side.address(SERVER_PORT),
                    control: side.address(CONTROL_PORT),
                    sharded: *service == "catalogue",
                    work,
                    behaviour: behaviour.clone(),
                };
                server::start(setup, record, &seen)
            })
            .collect();
        let status = put(
            record,
            &fleet.controls(),
            0,
            &text(1, timeout_s, slo_s),
            Duration::from_secs(20),
        );
        if status != 200 {
            fail("the first configuration is not acknowledged");
        }
        let deployment = Self {
            fleet,
            servers,
            seen,
        };
        let end = Instant::now() + Duration::from_secs(15);
        while deployment.held_keys() < 65_536 {
            if Instant::now() > end {
                fail("the servers get no keys");
            }
            sleep(Duration::from_millis(100));
        }
        sleep(Duration::from_millis(500));
        deployment
    }

    fn held_keys(&self) -> usize {
        self.servers.iter().map(|server| server.holds_keys()).sum()
    }

    pub fn stop(&mut self) {
        for server in &self.servers {
            server.crash();
        }
    }
}

/// Writes a configuration with a route to each service.
pub fn text(version: u64, timeout_s: f64, slo_s: f64) -> String {
    let route = |prefix, kind, service| Route {
        prefix,
        kind,
        service,
        timeout_s,
        slo_s,
        max_attempts: 2,
    };
    let routes = [
        route("/catalogue/", "idempotent", "catalogue"),
        route("/bookings/", "non_idempotent", "bookings"),
    ];
    configuration(version, &["catalogue", "bookings"], &["catalogue"], &routes)
}
