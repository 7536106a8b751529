//! Which server owns a key.

use chicoryrail_core::KeyHash;
use chicoryrail_core::Kind;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ShardId;
use chicoryrail_platform::Store;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::SliceState;

use crate::Admin;
use crate::ApiError;
use crate::OwnerView;

impl<S: Store> Admin<S> {
    /// Asks the controllers for the owner of a key; works while the store is down.
    pub(crate) async fn owner(&self, service: &str, key: &str) -> Result<OwnerView, ApiError> {
        let (config, _) = self.config().await?;
        let name = ServiceName::new(service);
        let Some(known) = config.service(&name) else {
            return Err(ApiError::unknown("service", service));
        };
        if known.kind != Kind::Keyed {
            return Err(ApiError::field(
                "service",
                service,
                "is free: its keys have no owner",
            ));
        }
        let position = KeyHash::of(key);
        let shard = ShardId::of_key(&name, position, known.parts);
        let fleet = self.fleet.look(true).await;
        let tables = fleet
            .replies
            .iter()
            .flat_map(|r| r.tables.iter().map(move |t| (&r.own.host, t)));
        let newest = tables
            .filter(|(_, table)| table.shard == shard)
            .max_by_key(|(_, table)| table.fence);
        let found = newest.and_then(|(host, table)| {
            let mut view = read(table, position)?;
            view.holder = host.clone();
            Some(view)
        });
        found.ok_or_else(|| {
            let text = format!("shard {shard}: no controller that answers holds it now");
            ApiError::new(ResultCode::NotHolder, text)
        })
    }
}

fn read(table: &RouteTable, position: KeyHash) -> Option<OwnerView> {
    let entry = table.entries.iter().find(|e| e.slice.contains(position))?;
    let server = table.servers.get(entry.owner as usize)?;
    Some(OwnerView {
        shard: table.shard.to_string(),
        holder: "".into(),
        fence: table.fence.to_string(),
        position: position.to_string(),
        slice: entry.slice.to_string(),
        moving: entry.state == SliceState::Moving,
        server: server.name.clone(),
        data_centre: server.dc.clone(),
        state: format!("{:?}", server.state).to_lowercase(),
        gate: server.gate.clone(),
    })
}
