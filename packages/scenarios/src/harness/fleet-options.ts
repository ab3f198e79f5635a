/** An entry host of a fleet. */
export type EntryPlan = {
	readonly id: string;
	readonly zone: string;
	/** Further settings, as environment variables. */
	readonly env?: Readonly<Record<string, string>>;
};

/** A backend server of a fleet with its agent. */
export type BackendPlan = {
	readonly id: string;
	readonly zone: string;
	readonly backend:
		| {readonly kind: 'engine'; readonly baseModel: string}
		| {readonly kind: 'service'; readonly service: string};
	/** Flags of the stand-in. */
	readonly flags?: readonly string[];
	/** Further settings of the agent, as environment variables. */
	readonly env?: Readonly<Record<string, string>>;
};

/** What a fleet consists of. */
export type FleetPlan = {
	readonly entries: readonly EntryPlan[];
	readonly backends: readonly BackendPlan[];
	/** Whether engines load from a weight store with its usual pace. */
	readonly hasWeightStore?: boolean;
	readonly environment?: string;
};

/** A plan of one engine in each zone, and one plain service if it is named. */
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
