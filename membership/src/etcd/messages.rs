//! The messages of the etcd v3 API that are used here: `rpc.proto` and `kv.proto`, version 3.4 and later. Unused fields are
//! omitted; decoding ignores them.
#![allow(missing_docs, reason = "the names are the protocol's own, and its text says what they mean")]

/// `ResponseHeader`
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// `KeyValue`
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// `RangeRequest`
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// `RangeResponse`
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
}

/// `PutRequest`
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// The response to `Put` and `LeaseRevoke`, of which only the header is read.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeaderOnly {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// `Event`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// 0 for a put, 1 for a deletion.
    #[prost(int32, tag = "1")]
    pub kind: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// `WatchCreateRequest`
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// `WatchProgressRequest`
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// `WatchRequest`, with one of the two fields.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(message, optional, tag = "1")]
    pub create_request: Option<WatchCreateRequest>,
    #[prost(message, optional, tag = "3")]
    pub progress_request: Option<WatchProgressRequest>,
}

/// `WatchResponse`
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// `LeaseGrantRequest`
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseGrantRequest {
    /// Duration in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// A lease by its identifier: `LeaseRevokeRequest`, `LeaseKeepAliveRequest`, `LeaseTimeToLiveRequest`.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseRequest {
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// `LeaseGrantResponse`, `LeaseKeepAliveResponse`, `LeaseTimeToLiveResponse`.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Remaining duration in seconds; -1 or 0 if the lease has ended.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Paths of the calls.
pub mod path {
    /// One [`RangeRequest`](super::RangeRequest).
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// One [`PutRequest`](super::PutRequest).
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// [`WatchRequest`](super::WatchRequest)s and [`WatchResponse`](super::WatchResponse)s.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// One [`LeaseGrantRequest`](super::LeaseGrantRequest).
    pub const GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// One [`LeaseRequest`](super::LeaseRequest).
    pub const REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// [`LeaseRequest`](super::LeaseRequest)s.
    pub const KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
    /// One [`LeaseRequest`](super::LeaseRequest).
    pub const TIME_TO_LIVE: &str = "/etcdserverpb.Lease/LeaseTimeToLive";
}
