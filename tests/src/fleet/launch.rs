//! Starts the processes of a fleet and writes their settings files.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::ChildProcess;
use crate::FaultProxy;
use crate::Fleet;
use crate::fleet::TOKEN;
use crate::process::free_address;

impl Fleet {
    /// Starts a second sidecar for an upstream, as a replacement for the first.
    pub fn start_second_sidecar(&self, at: usize) -> ChildProcess {
        let upstream = self.upstreams[at].address("address");
        let settings = self.settings(at, Some(upstream), None);
        let name = format!("sidecar-{}", self.upstream_name(at));
        let settings = settings.replace(&name, &format!("{name}-second"));
        let path = self.write_settings(&format!("{name}-second"), &settings);
        ChildProcess::start("bilberryd", arguments(&path))
    }

    /// Kills an entry, restarts it on the same addresses and waits until it is ready.
    pub async fn restart_entry(&mut self, at: usize) {
        self.entries[at].kill();
        self.entries[at].restart();
        self.wait_ready(&self.entries[at]).await;
    }

    pub(super) fn start_entry(&self, at: usize) -> ChildProcess {
        let settings = self.settings(at, None, None);
        let path = self.write_settings(&format!("entry-{at}"), &settings);
        ChildProcess::start("bilberryd", arguments(&path))
    }

    pub(super) async fn start_upstreams(&mut self) {
        for at in 0..self.plan.engines.len() + self.plan.services {
            let upstream = match self.plan.engines.get(at) {
                Some(traits) => {
                    let traits = serde_json::to_string(traits).expect("traits serialise");
                    let arguments =
                        vec!["engine".to_string(), "--traits".to_string(), traits];
                    ChildProcess::start("bilberry-standin", arguments)
                }
                None => {
                    ChildProcess::start("bilberry-standin", vec!["service".to_string()])
                }
            };
            let address = upstream.address("address");
            self.upstreams.push(upstream);
            self.start_sidecar(at, address).await;
        }
    }

    async fn start_sidecar(&mut self, at: usize, upstream: SocketAddr) {
        let advertise = self.plan.proxied_sidecars.then(free_address);
        let settings = self.settings(at, Some(upstream), advertise);
        let name = self.upstream_name(at);
        let path = self.write_settings(&format!("sidecar-{name}"), &settings);
        let running = ChildProcess::start("bilberryd", arguments(&path));
        if let Some(address) = advertise {
            let link = FaultProxy::start_at(address, running.address("peers")).await;
            self.sidecar_proxies.push(link);
        }
        self.sidecars.push(running);
    }

    fn upstream_name(&self, at: usize) -> String {
        match at.checked_sub(self.plan.engines.len()) {
            None => format!("e{at}"),
            Some(server) => format!("s{server}"),
        }
    }

    fn settings(
        &self,
        at: usize,
        upstream: Option<SocketAddr>,
        advertise: Option<SocketAddr>,
    ) -> String {
        let platform = match &self.platform_proxy {
            Some(link) => link.address,
            None => self.platform.address("address"),
        };
        let seeds: Vec<_> = self
            .sidecars
            .iter()
            .map(|sidecar| format!("\"{}\"", sidecar.address("peers")))
            .collect();
        let (role, process, host) = match upstream {
            None => ("entry", format!("entry-{at}"), format!("entry-host-{at}")),
            Some(_) => {
                let name = self.upstream_name(at);
                ("sidecar", format!("sidecar-{name}"), format!("host-{name}"))
            }
        };
        let listen = match upstream {
            None => "callers = \"127.0.0.1:0\"\nadministration = \"127.0.0.1:0\"\n"
                .to_string(),
            Some(_) => advertise
                .map_or(String::new(), |address| format!("advertise = \"{address}\"\n")),
        };
        let upstream = upstream.map_or(String::new(), |address| {
            let name = self.upstream_name(at);
            format!("[upstream]\nname = \"{name}\"\naddress = \"{address}\"\n")
        });
        let (peers, operations) = (free_address(), free_address());
        let token_hash = bilberry_config::hash_text(TOKEN);
        let administrator = match role {
            "entry" => {
                format!(
                    "[[administrator]]\nowner = \"*\"\ntoken_hash = \"{token_hash}\"\n"
                )
            }
            _ => String::new(),
        };
        format!(
            "process = \"{process}\"\nhost = \"{host}\"\nrole = \"{role}\"\n\
             place = \"r/h\"\n[listen]\npeers = \"{peers}\"\n\
             operations = \"{operations}\"\n{listen}\
             [platform]\naddress = \"{platform}\"\ncall_ms = 500\n\
             [limits]\n{}\n{upstream}{administrator}[peers]\nseeds = [{}]\n{}\n",
            self.plan.limits,
            seeds.join(", "),
            self.plan.settings
        )
    }

    fn write_settings(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("the settings file can be written");
        path
    }
}

fn arguments(path: &Path) -> Vec<String> {
    vec!["--settings".to_string(), path.display().to_string()]
}
