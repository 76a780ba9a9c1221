import * as crypto from "node:crypto";

import * as types from "../../types.js";

/**
 * Computes a digest of member records, by which two VMs compare their tables. Dead members are
 * excluded because VMs remove them at different times.
 */
export function computeMemberDigest(members: readonly types.VmMember[]): number {
  const lines = members
    .filter((member) => member.state !== types.MemberState.Dead)
    .map((member) => `${member.name} ${member.incarnation} ${member.state}`)
    .sort();
  return crypto.createHash("sha1").update(lines.join("\n")).digest().readUInt32BE(0);
}
