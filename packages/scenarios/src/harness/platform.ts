import type {Host} from '@balsamtray/core';
import {Standin} from './standin.js';

/** Stand-ins of the platform's services: table service, object store, host list and weight store. */
export class Platform {
	/** Starts all stand-ins. If one fails, stops the others and throws. */
	static async create(): Promise<Platform> {
		const results = await Promise.allSettled([
			Standin.create('table', 'table'),
			Standin.create('objects', 'objects'),
			Standin.create('hosts', 'hosts'),
			Standin.create('weights', 'weights'),
		]);
		const started = results.flatMap(result =>
			result.status === 'fulfilled' ? [result.value] : [],
		);
		const [table, objects, hosts, weights] = started;
		if (!table || !objects || !hosts || !weights) {
			await Promise.all(started.map(async standin => standin.child.stop()));
			throw new Error('at least one platform stand-in did not start');
		}

		return new Platform(table, objects, hosts, weights);
	}

	private constructor(
		readonly table: Standin,
		readonly objects: Standin,
		readonly hosts: Standin,
		readonly weights: Standin,
	) {}

	get standins(): readonly Standin[] {
		return [this.table, this.objects, this.hosts, this.weights];
	}

	/** Settings with the platform's URLs, as environment variables of the daemons. */
	get env(): Readonly<Record<string, string>> {
		return {
			BALSAMTRAY_TABLE_URL: this.table.url,
			BALSAMTRAY_OBJECT_URL: this.objects.url,
			BALSAMTRAY_HOSTS_URL: this.hosts.url,
		};
	}

	/** Replaces the platform's host list. */
	async setHosts(hosts: readonly Host[]): Promise<void> {
		await this.hosts.send('PUT', '/v1/hosts', {hosts});
	}
}
