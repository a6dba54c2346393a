//! The messages of xDS v3 that are used here: `envoy.service.discovery.v3` and `envoy.config.endpoint.v3` of the xDS API.
//! Unused fields are omitted; decoding ignores them.
#![allow(missing_docs, reason = "the names are the protocol's own, and its text says what they mean")]

use std::collections::HashMap;

/// `google.protobuf.Any`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Any {
    #[prost(string, tag = "1")]
    pub type_url: String,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// `google.rpc.Status`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    #[prost(int32, tag = "1")]
    pub code: i32,
    #[prost(string, tag = "2")]
    pub message: String,
}

/// `envoy.config.core.v3.Node`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub id: String,
}

/// `DiscoveryRequest`
#[derive(Clone, PartialEq, prost::Message)]
pub struct DiscoveryRequest {
    #[prost(string, tag = "1")]
    pub version_info: String,
    #[prost(message, optional, tag = "2")]
    pub node: Option<Node>,
    #[prost(string, repeated, tag = "3")]
    pub resource_names: Vec<String>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub response_nonce: String,
    #[prost(message, optional, tag = "6")]
    pub error_detail: Option<Status>,
}

/// `DiscoveryResponse`
#[derive(Clone, PartialEq, prost::Message)]
pub struct DiscoveryResponse {
    #[prost(string, tag = "1")]
    pub version_info: String,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Any>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub nonce: String,
}

/// `DeltaDiscoveryRequest`
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeltaDiscoveryRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(string, tag = "2")]
    pub type_url: String,
    #[prost(string, repeated, tag = "3")]
    pub resource_names_subscribe: Vec<String>,
    #[prost(map = "string, string", tag = "5")]
    pub initial_resource_versions: HashMap<String, String>,
    #[prost(string, tag = "6")]
    pub response_nonce: String,
    #[prost(message, optional, tag = "7")]
    pub error_detail: Option<Status>,
}

/// `Resource`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Resource {
    #[prost(string, tag = "1")]
    pub version: String,
    #[prost(message, optional, tag = "2")]
    pub resource: Option<Any>,
    #[prost(string, tag = "3")]
    pub name: String,
}

/// `DeltaDiscoveryResponse`
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeltaDiscoveryResponse {
    #[prost(string, tag = "1")]
    pub system_version_info: String,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub nonce: String,
    #[prost(string, repeated, tag = "6")]
    pub removed_resources: Vec<String>,
}

/// `ClusterLoadAssignment`
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClusterLoadAssignment {
    #[prost(string, tag = "1")]
    pub cluster_name: String,
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<LocalityLbEndpoints>,
}

/// `LocalityLbEndpoints`
#[derive(Clone, PartialEq, prost::Message)]
pub struct LocalityLbEndpoints {
    #[prost(message, optional, tag = "1")]
    pub locality: Option<Locality>,
    #[prost(message, repeated, tag = "2")]
    pub lb_endpoints: Vec<LbEndpoint>,
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

/// `Locality`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Locality {
    #[prost(string, tag = "1")]
    pub region: String,
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// `LbEndpoint`
#[derive(Clone, PartialEq, prost::Message)]
pub struct LbEndpoint {
    #[prost(message, optional, tag = "1")]
    pub endpoint: Option<Endpoint>,
    /// `HealthStatus`: 2 unhealthy, 3 draining, 4 timeout; all others may be sent to.
    #[prost(int32, tag = "2")]
    pub health_status: i32,
    #[prost(message, optional, tag = "4")]
    pub load_balancing_weight: Option<UInt32Value>,
}

/// `google.protobuf.UInt32Value`
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct UInt32Value {
    #[prost(uint32, tag = "1")]
    pub value: u32,
}

/// `Endpoint`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Endpoint {
    #[prost(message, optional, tag = "1")]
    pub address: Option<Address>,
}

/// `Address`
#[derive(Clone, PartialEq, prost::Message)]
pub struct Address {
    #[prost(message, optional, tag = "1")]
    pub socket_address: Option<SocketAddress>,
}

/// `SocketAddress`
#[derive(Clone, PartialEq, prost::Message)]
pub struct SocketAddress {
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint32, tag = "3")]
    pub port_value: u32,
}

/// The resource's type.
pub const TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// State of the world.
pub const STREAM: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints";
/// Incremental.
pub const DELTA: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints";
