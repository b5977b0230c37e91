//! Faults that a run brings: what ends, and what is refused.

use super::*;

impl Driver {
    pub(super) async fn fault(&mut self, fault: &Fault) -> Result<(), RunError> {
        let now = self.clock.now();
        let over = now + (fault.for_s * 1e6) as u64;
        let what = match fault.kind {
            FaultKind::Rack => self.end_rack().await,
            FaultKind::Zone => {
                self.tell_hosts(&ToHosts::EndZone(zone_name(0)));
                format!("all hollow workers of {} end", zone_name(0))
            }
            FaultKind::Leader => {
                let leader = self.leader().await;
                self.kill(leader.iter().filter_map(|name| node_of(name)).collect())
                    .await
            }
            FaultKind::Half => {
                let half = self.controllers.len().div_ceil(2);
                self.kill((0..half).collect()).await
            }
            FaultKind::Outage => {
                self.state.tell(&ToState::Outage(true));
                self.later.entry(over).or_default().push(Later::EndOutage);
                format!("the state service refuses all for {} s", fault.for_s)
            }
            FaultKind::RefuseLeader => {
                let leader = self.leader().await;
                let node = leader.as_deref().and_then(node_of);
                self.state.tell(&ToState::Refuse(node));
                self.later.entry(over).or_default().push(Later::EndRefusal);
                format!(
                    "the state service refuses {leader:?} alone for {} s",
                    fault.for_s
                )
            }
        };
        self.faults
            .push(format!("{:.1} s: {what}", now as f64 / 1e6));
        Ok(())
    }

    pub(super) async fn end_rack(&mut self) -> String {
        let Some(rack) = self
            .hosts
            .iter_mut()
            .find(|h| h.kind == HostKind::Rack && !h.ended)
        else {
            return "no rack is left".into();
        };
        rack.talker.kill().await;
        rack.ended = true;
        let (at, hosts) = (self.clock.now(), std::mem::take(&mut rack.hosts));
        for host in &hosts {
            let gone = self.record.borrow_mut().host_ended(host, at);
            gone.iter().for_each(|event| self.on_gang(event));
        }
        let count = hosts.len();
        self.cloud
            .tell(&ToCloud::Failed(hosts.into_iter().collect()));
        format!("a process with {count} hollow workers is killed")
    }

    pub(super) async fn kill(&mut self, nodes: Vec<usize>) -> String {
        let back = self.clock.now() + RESTART;
        for node in &nodes {
            self.controllers[*node].kill().await;
            self.later
                .entry(back)
                .or_default()
                .push(Later::StartController(*node));
        }
        format!(
            "controllers {nodes:?} are killed, back after {} s",
            RESTART / SECOND
        )
    }

    /// Who leads, as the state service has it.
    pub(super) async fn leader(&self) -> Option<String> {
        let client = Client::new(state_role::address(
            self.options.controllers,
            self.ports.state,
        ));
        let path = "/kv/gh/lead/holder";
        let answer = client.call(Method::Get, path, b"", PATIENCE).await;
        let body: serde_json::Value = decode_ok(&answer)?;
        Some(body["v"]["holder"].as_str()?.to_string())
    }
}
