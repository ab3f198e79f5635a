import type {AuthorityConfig, RouteRule, ServiceShare} from './types.js';

/** Finds the route of a request by its host name and the longest matching path prefix. */
export class RouteTable {
	static create(config: AuthorityConfig): RouteTable {
		const byHost = new Map<string, RouteRule[]>();
		for (const route of config.routes) {
			const routes = byHost.get(route.host) ?? [];
			routes.push(route);
			byHost.set(route.host, routes);
		}

		for (const routes of byHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		return new RouteTable(byHost);
	}

	private constructor(
		private readonly _byHost: ReadonlyMap<string, readonly RouteRule[]>,
	) {}

	/** @param path path without the query string */
	routeOf(host: string, path: string): RouteRule | undefined {
		return this._byHost
			.get(host)
			?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}
}

/**
 * Picks a service at random by weight. Returns undefined without shares.
 *
 * @param draw random number in [0, 1)
 */
export function pickShare(
	shares: readonly ServiceShare[],
	draw: number,
): string | undefined {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	let left = draw * total;
	for (const {service, weight} of shares) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return shares.at(-1)?.service;
}
