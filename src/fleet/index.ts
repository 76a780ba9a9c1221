export * from "./types.js";
export { DEFAULT_MEMBERSHIP_OPTIONS } from "./constants.js";
export { DEFAULT_LEASE_OPTIONS } from "./constants.js";
export { FleetMembership } from "./fleetMembership/index.js";
export { selectFirstByRendezvous } from "./selectFirstByRendezvous/index.js";
export { findHome } from "./findHome/index.js";
export { LeaseHolder } from "./leaseHolder/index.js";
export { rankByRendezvous } from "./rankByRendezvous/index.js";
export { UdpSocket } from "./udpSocket/index.js";
