/** When this VM's data centre was last in contact with each other one, as far as this VM knows. */
export class DataCentreContacts {
  private readonly contactAtMs = new Map<string, number>();

  /** Takes note of a contact that was made some time ago. */
  onContact(dataCentre: string, ageMs: number, nowMs: number): void {
    const known = this.contactAtMs.get(dataCentre) ?? -Infinity;
    this.contactAtMs.set(dataCentre, Math.max(known, nowMs - ageMs));
  }

  /** Milliseconds since the last contact; starts at 0 when a data centre is first asked about. */
  ageMs(dataCentre: string, nowMs: number): number {
    const known = this.contactAtMs.get(dataCentre);
    if (known === undefined) this.contactAtMs.set(dataCentre, nowMs);
    return nowMs - (known ?? nowMs);
  }

  /** Ages of all contacts, for other members of the data centre. */
  ages(nowMs: number): Readonly<Record<string, number>> {
    const entries = [...this.contactAtMs].map(([name, atMs]) => [name, Math.round(nowMs - atMs)]);
    return Object.fromEntries(entries) as Record<string, number>;
  }

  /** Adds the time that this process stood still, in which it could hear nothing. */
  excludePause(pausedMs: number): void {
    for (const [name, atMs] of this.contactAtMs) this.contactAtMs.set(name, atMs + pausedMs);
  }
}
