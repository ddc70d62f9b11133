/** The first configuration of a case: one host, its routes and their services. */
export const HOST = "menu.example";

export const planOf = (routes) => ({
  putItems: {
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerWait: "3000ms",
      idle: "15000ms",
      version: 7,
    },
    listeners: [
      {
        host: HOST,
        rules: routes.map(({ name, kind, service, target, giveUp }) => ({
          name,
          routeKind: kind,
          target_time: target,
          rank: 1,
          version: 7,
          matchOn: { pathStart: `/${name}/` },
          then: { service, giveUp, tries: 2 },
        })),
      },
    ],
    groups: [...new Set(routes.map(({ service }) => service))].map((name) => ({
      name,
      statusPath: "/health",
      maxConnections: 150,
      protocol: "h1",
      encrypted: false,
      version: 7,
    })),
  },
  remove: { routes: [] },
});
