//! What follows from a new version of the configuration in all roles of a controller, and what is told of it.

use bytes::Bytes;
use serde::Serialize;

use super::Controller;
use super::config_watch::{ConfigurationRead, NewSettings};
use super::outbox::Purpose;
use crate::http::Response;
use crate::wire::budget::Urgency;

/// The answer to `GET /api/config`.
#[derive(Serialize)]
struct Told<'a> {
    /// The version in force here; 0: the platform's settings alone.
    version: u64,
    /// The newest version that was seen, and why it is not in force if it cannot be used.
    newest: u64,
    refused: Option<&'a str>,
    /// It may be acted on now, and when it was last known to be the newest.
    fresh: bool,
    known_ms_ago: Option<u64>,
    nodes: Vec<NodeTold<'a>>,
}

/// What a controller knows of another one.
#[derive(Serialize)]
struct NodeTold<'a> {
    name: &'a str,
    /// It was heard within the last seconds.
    heard: bool,
    /// The version in force there; null where its release knows of none, or nothing was ever heard.
    version: Option<u64>,
}

impl Controller {
    /// Asks for what is to be read of the configuration, if anything.
    pub(super) fn read_configuration(&mut self) {
        let port = &mut self.port;
        if let Some((what, request)) = port.configuring.next_read(port.clock.now) {
            port.send(Urgency::Renewal, request, Purpose::Configuration(what));
        }
    }

    pub(super) fn configuration_read(
        &mut self,
        what: ConfigurationRead,
        answer: Option<(u16, Bytes)>,
    ) {
        let port = &mut self.port;
        let (running, now) = (port.settings.clone(), port.clock.now);
        if let Some(new) = port.configuring.answered(what, answer, &running, now) {
            self.configure(new);
        }
        self.read_configuration();
    }

    /// Puts settings in force in this process, in all of its roles at once.
    fn configure(&mut self, new: NewSettings) {
        let NewSettings {
            settings,
            over_limit,
        } = new;
        let now = self.port.clock.now;
        self.port.settings = settings.clone();
        for holder in self.holders.values_mut() {
            holder.cluster.configure(&settings, over_limit, now);
            holder.heed_configuration(&self.port);
        }
        self.intake.configured();
        self.standing.beat_soon(now);
    }

    pub(super) fn show_configuration(&mut self, conn: u64) {
        let (port, standing) = (&self.port, &self.standing);
        let (configuring, now) = (&port.configuring, port.clock.now);
        let own = NodeTold {
            name: &port.settings.name,
            heard: true,
            version: Some(configuring.version()),
        };
        let siblings = port
            .settings
            .siblings
            .iter()
            .enumerate()
            .map(|(i, s)| NodeTold {
                name: &s.name,
                heard: standing.heard(port, i),
                version: standing.siblings[i].configuration,
            });
        let told = Told {
            version: configuring.version(),
            newest: configuring.newest(),
            refused: configuring.refused(),
            fresh: configuring.fresh(now),
            known_ms_ago: configuring.age(now).map(|age| age / 1000),
            nodes: std::iter::once(own).chain(siblings).collect(),
        };
        let response = Response::json(200, &told);
        self.port.reply(conn, response);
    }
}
