/** An entry host of a fleet. */
export type EntryPlan = {
	readonly id: string;
	readonly zone: string;
	/** Additional settings as environment variables. */
	readonly env?: Readonly<Record<string, string>>;
};

/** A backend server of a fleet and its agent. */
export type BackendPlan = {
	readonly id: string;
	readonly zone: string;
	readonly backend:
		| {readonly kind: 'engine'; readonly baseModel: string}
		| {readonly kind: 'service'; readonly service: string};
	/** Command-line flags of the backend's stand-in. */
	readonly flags?: readonly string[];
	/** Additional settings of the agent as environment variables. */
	readonly env?: Readonly<Record<string, string>>;
};

/** Hosts and options of a fleet. */
export type FleetPlan = {
	readonly entries: readonly EntryPlan[];
	readonly backends: readonly BackendPlan[];
	/** Whether engines download weights from the weight store stand-in, at its default speed. */
	readonly hasWeightStore?: boolean;
	readonly environment?: string;
};

/** Plans an entry in each of the first two zones, an engine in each zone and, if named, one plain service. */
export function planFleet(
	zones: readonly string[],
	baseModel: string,
	service?: string,
): FleetPlan {
	const engines = zones.map(zone => ({
		id: `engine-${zone}`,
		zone,
		backend: {kind: 'engine', baseModel} as const,
	}));
	const services =
		service === undefined
			? []
			: [
					{
						id: `${service}-${zones[0]}`,
						zone: zones[0] ?? 'z1',
						backend: {kind: 'service', service} as const,
					},
				];
	return {
		entries: zones.slice(0, 2).map(zone => ({id: `entry-${zone}`, zone})),
		backends: [...engines, ...services],
	};
}
