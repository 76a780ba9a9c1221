import * as fs from "node:fs";

import tap from "tap";

import * as catalogue from "../../../src/catalogue/index.js";
import * as catalogueTypes from "../../../src/catalogue/types.js";

/** Expected data centres and numbers of engines and VMs of each example deployment. */
const DEPLOYMENTS = [
  { name: "varahoidja", dataCentres: ["tln-a", "tln-b", "mrd-c"], engines: 8, vms: 8 },
  { name: "gauja", dataCentres: ["riga-a", "riga-b", "riga-c"], engines: 10, vms: 7 },
];

for (const deployment of DEPLOYMENTS) {
  tap.test(`the example catalogue of ${deployment.name} matches its deployment`, (t) => {
    const text = fs.readFileSync(`examples/${deployment.name}/catalogue.yaml`, "utf8");
    const items = catalogue.parseCatalogueDocument(text)._unsafeUnwrap();
    const countOf = (kind: catalogueTypes.ItemKind): number =>
      items.filter((item) => item.kind === kind).length;
    t.equal(countOf(catalogueTypes.ItemKind.Engine), deployment.engines);
    t.equal(countOf(catalogueTypes.ItemKind.Service), 3);
    t.equal(countOf(catalogueTypes.ItemKind.Vm), deployment.vms);
    t.equal(countOf(catalogueTypes.ItemKind.Account), 10);
    const places = items.flatMap((item) => ("dataCentre" in item ? [item.dataCentre] : []));
    t.same([...new Set(places)].sort(), [...deployment.dataCentres].sort());
    t.end();
  });

  tap.test(`every call of ${deployment.name} names a service of its catalogue`, (t) => {
    const text = fs.readFileSync(`examples/${deployment.name}/catalogue.yaml`, "utf8");
    const items = catalogue.parseCatalogueDocument(text)._unsafeUnwrap();
    const services = items.flatMap((item) =>
      item.kind === catalogueTypes.ItemKind.Service ? [item.service] : [],
    );
    const called = items.flatMap((item) =>
      item.kind === catalogueTypes.ItemKind.Call ? [item.service] : [],
    );
    t.ok(called.length > 0);
    t.same(
      called.filter((service) => !services.includes(service)),
      [],
    );
    t.end();
  });

  tap.test(`every entry of ${deployment.name} has an account of the same owner`, (t) => {
    const text = fs.readFileSync(`examples/${deployment.name}/catalogue.yaml`, "utf8");
    const items = catalogue.parseCatalogueDocument(text)._unsafeUnwrap();
    const ownersOf = (kinds: readonly catalogueTypes.ItemKind[]): readonly string[] =>
      items.flatMap((item) => (kinds.includes(item.kind) && "owner" in item ? [item.owner] : []));
    const accountOwners = ownersOf([catalogueTypes.ItemKind.Account]);
    const entryOwners = ownersOf([
      catalogueTypes.ItemKind.Generation,
      catalogueTypes.ItemKind.Call,
    ]);
    t.ok(entryOwners.length > 0);
    t.ok(entryOwners.every((owner) => accountOwners.includes(owner)));
    t.end();
  });
}
