/** How much a freshly started engine bears: few requests at once at first, one more for each that it completes. */
export class ColdStart {
	static create(bearsAtFirst: number, bearsWarm: number): ColdStart {
		return new ColdStart(bearsAtFirst, bearsWarm);
	}

	private _bears: number;
	private readonly _bearsAtFirst: number;
	private readonly _bearsWarm: number;

	private constructor(bearsAtFirst: number, bearsWarm: number) {
		this._bears = bearsAtFirst;
		this._bearsAtFirst = bearsAtFirst;
		this._bearsWarm = bearsWarm;
	}

	get isCold(): boolean {
		return this._bears < this._bearsWarm;
	}

	/** Whether a cold engine that was given this many requests at once bears them. */
	bears(given: number): boolean {
		return !this.isCold || given <= this._bears;
	}

	completed(): void {
		this._bears = Math.min(this._bearsWarm, this._bears + 1);
	}

	reset(): void {
		this._bears = this._bearsAtFirst;
	}
}
