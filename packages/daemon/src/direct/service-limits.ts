import type {ServiceSpec} from '@balsamtray/core';

export type ServiceLimitsOptions = {
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	readonly entryCount: () => number;
};

/**
 * Share of a server's connection limit that the entries divide among themselves. The rest stays free, since callers
 * spread unevenly over the entries.
 */
const connectionShare = 0.9;

/** Minimum number of entries that share a server's connections, which leaves room for new entries. */
const minConnectionEntries = 8;

/** Maximum connections to a server whose service is not known yet. */
const initialConnections = 8;

/** This entry's part of what a service allows to all entries. */
export class ServiceLimits {
	static create(options: ServiceLimitsOptions): ServiceLimits {
		return new ServiceLimits(options);
	}

	private constructor(private readonly _options: ServiceLimitsOptions) {}

	/** Maximum number of connections to one server of the service. */
	maxConnections(service: string): number {
		const {serviceOf, entryCount} = this._options;
		const spec = serviceOf(service);
		const entries = Math.max(entryCount(), minConnectionEntries);
		return spec === undefined
			? initialConnections
			: Math.max(
					1,
					Math.floor((spec.maxConnections * connectionShare) / entries),
				);
	}
}
